// Arithmetic about a fleet before it is built or changed: load per tier against capacity, what a
// lost zone leaves, calls to the platform, control traffic per node.
#pragma once

#include <string>
#include <vector>

#include "cartsail/operations/workload.h"

namespace cartsail {

struct TierLoad {
  int tier = 0;
  double requests_per_s = 0;
  double tokens_per_s = 0;
  double share = 0;                  // of the fleet's tokens per second
  double cumulative_share = 0;       // with all higher tiers
  double peak_cumulative_share = 0;  // the same while every class bursts at once
};

struct FleetPlan {
  double capacity_tokens_per_s = 0;
  double capacity_without_zone = 0;   // one zone of engines lost
  double full_batch_interval_ms = 0;  // between tokens with full batches
  std::vector<TierLoad> tiers;        // highest first
  // Calls to the platform per second, steady.
  double machine_list_reads = 0;
  double config_reads = 0;
  double watches = 0;
  double claim_writes = 0;  // at most
  // Control per node.
  double heartbeats_per_s = 0;
  double heartbeat_bytes_per_s = 0;
  double request_messages_per_s = 0;
  std::vector<std::string> warnings;
};

FleetPlan MakePlan(const Workload& workload);

}  // namespace cartsail
