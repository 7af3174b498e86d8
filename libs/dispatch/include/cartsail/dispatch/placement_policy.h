// The figures by which placement weighs back ends against each other, as one plain struct. All
// costs are in milliseconds of a request's time. Pure.
#pragma once

#include <cstdint>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/engine_partition.h"

namespace cartsail {

struct PlacementPolicy {
  double read_tokens_per_ms = 60;         // prompt tokens that an engine reads in a millisecond
  double attention_ms_per_million = 0.3;  // for each million of (new token, earlier token) pairs
  double move_tokens_per_ms = 150;        // prompt memory taken over from another engine
  double move_setup_ms = 4;
  double reread_price_ms = 0.5;  // a token read although another engine holds it
  double move_price_ms = 0.028;  // a token taken over
  Duration prefix_lifetime = seconds(20);
  // Requests whose first output may take at least this long are the patient ones: they read long
  // prompts and are kept off the engines whose streams need even pauses.
  Duration patient_goal = seconds(1);
  PartitionPolicy partition;
  double patient_elsewhere_ms = 3000;  // a patient request at an engine for urgent ones
  double urgent_elsewhere_ms = 500;    // an urgent request at an engine for patient ones
  // For each even stream there (up to `most_streams_disturbed`): a prompt that takes long to read.
  double disturbed_stream_ms = 60;
  int64_t most_streams_disturbed = 8;
  double disturbing_reading_ms = 50;
  double stream_cost_ms = 3;     // each running request slows the others
  double over_full_ms = 50;      // each request beyond an engine's slots, nearly
  double plain_request_ms = 60;  // expected work of a plain service's request
  double other_zone_ms = 1;
  double new_connection_ms = 40;  // a back end to which the node has no idle connection
  double failure_cost_ms = 4000;  // times the share of recent failures
};

}  // namespace cartsail
