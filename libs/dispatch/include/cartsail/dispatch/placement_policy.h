// The figures by which placement weighs back ends against each other, as one plain struct. Every
// loss is counted in requests that miss their goal: 1 is one request lost or late. Pure.
#pragma once

#include <cstdint>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/engine_partition.h"
#include "cartsail/dispatch/mechanism.h"

namespace cartsail {

struct PlacementPolicy {
  DisabledMechanisms disabled;  // for experiments

  // How engines are expected to work until measured: figures chosen on the first two deployments.
  // BackendHealth::Slowness() corrects them for each engine.
  double read_tokens_per_ms = 60;         // prompt tokens that an engine reads in a millisecond
  double attention_ms_per_million = 0.3;  // for each million of (new token, earlier token) pairs
  double move_tokens_per_ms = 150;        // prompt memory taken over from another engine
  double move_setup_ms = 4;
  double plain_request_ms = 60;            // work of a plain service's request
  Duration stream_life = seconds(2);       // of a stream, until some have ended
  Duration prefix_lifetime = seconds(20);  // an engine drops parts of prompts that rest for longer

  // Spread of the time to the first output around the expected time, as a share of the goal.
  double first_output_spread = 0.2;
  double loss_per_ms = 0.00025;      // of waiting, beside what it does to the goal
  double loss_per_stream = 0.00075;  // each running request slows the others a little
  // At an engine all slots of which are taken; it falls with the square of the share taken. Each
  // running request slows the others, and all are lost with the engine.
  double crowding_loss = 0.2;
  double loss_per_reread_token = 0.000125;  // read although another engine holds it
  double loss_per_moved_token = 0.000007;   // taken over from another engine
  double new_connection_loss = 0.01;        // a back end to which the node has no idle connection
  double other_zone_loss = 0.00025;

  PartitionPolicy partition;
  // A prompt that is sure to break pauses, at an engine set aside for sensitive streams; a stream
  // whose pauses reading breaks for sure, at another engine.
  double heavy_elsewhere_loss = 0.75;
  double sensitive_elsewhere_loss = 0.125;
  // Reading that waits at engines under load, by which streams count as sensitive or not.
  double steady_backlog_ms = 500;
};

}  // namespace cartsail
