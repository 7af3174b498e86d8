// The parameters of the placement cost model. Losses are measured in requests that miss their goal:
// 1 is one request that is lost or late. Performs no I/O.
#pragma once

#include <cstdint>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/engine_partition.h"
#include "cartsail/dispatch/mechanism.h"

namespace cartsail {

struct PlacementPolicy {
  DisabledMechanisms disabled;  // for experiments only

  // Assumed engine performance until measured, chosen on the first two deployments.
  // BackendHealth::Slowness() corrects these values for each engine.
  double read_tokens_per_ms = 60;         // prefill rate of an engine
  double attention_ms_per_million = 0.3;  // per million (new token, earlier token) pairs
  double move_tokens_per_ms = 150;        // KV cache transfer rate between engines
  double move_setup_ms = 4;
  double plain_request_ms = 60;       // service time of a plain service's request
  Duration stream_life = seconds(2);  // assumed run time of a stream until some have ended
  // an engine evicts prompt parts that are unused for longer
  Duration prefix_lifetime = seconds(20);

  // Spread of the time to first output around the expected time, as a fraction of the goal.
  double first_output_spread = 0.2;
  double loss_per_ms =
      0.00025;  // per millisecond of waiting, in addition to the effect on the goal
  double loss_per_stream = 0.00075;  // each running request slows the others slightly
  // Loss at an engine with all slots taken; proportional to the square of the fraction taken. Each
  // running request slows the others, and all are lost when the engine fails.
  double crowding_loss = 0.2;
  double loss_per_reread_token = 0.000125;  // processed again although another engine holds it
  double loss_per_moved_token = 0.000007;   // transferred from another engine
  double new_connection_loss = 0.01;        // no idle connection to the back end
  double other_zone_loss = 0.00025;

  PartitionPolicy partition;
  // Loss of a prompt that is certain to break pauses at an engine reserved for sensitive streams,
  // and of a stream whose pauses are certain to be broken by prefill at another engine.
  double heavy_elsewhere_loss = 0.75;
  double sensitive_elsewhere_loss = 0.125;
  // Assumed prefill backlog at engines under load, by which streams are classified as sensitive.
  double steady_backlog_ms = 500;
};

}  // namespace cartsail
