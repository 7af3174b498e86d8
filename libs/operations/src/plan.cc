#include "cartsail/operations/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "cartsail/base/clock.h"

namespace cartsail {
namespace {

// Measured; see docs/CAPACITY.md for the commands behind them.
constexpr double kMessagesPerRequest = 3.9;
constexpr double kHeartbeatBytes = 320;       // with the frames of its call
constexpr double kDigestBytesPerEngine = 80;  // in a heartbeat that carries digests

// As the daemon does it; see docs/DESIGN.md.
constexpr int kFullMeshLimit = 32;
constexpr int kRelaysPerZone = 2;
constexpr double kHeartbeatsPerPeerSecond = 4;
constexpr double kMostHeartbeatsPerSecond = 20;
constexpr double kHeartbeatsPerDigest = 8;
constexpr double kRelayPollsPerSecond = 1;
constexpr double kBackstopPollsPerSecond = 1.0 / 30;
constexpr double kClaimWritesPerSecond = 150;
constexpr double kShortestClaimInterval = 0.010;

constexpr double kPlatformReads = 2000;
constexpr double kComfortableShare = 0.85;

double TokensPerSecond(const Topology& topology) {
  const double step =
      ToSeconds(topology.base_step) + ToSeconds(topology.per_sequence_step) * topology.batch_limit;
  const double per_engine = topology.batch_limit / step;
  const double slow = topology.slow_engine_share;
  return per_engine * topology.engines * (1 - slow + slow * topology.slow_speed);
}

void AddTiers(const Workload& workload, FleetPlan* plan) {
  struct Sums {
    double requests = 0;
    double tokens = 0;
    double peak_tokens = 0;
  };
  std::map<int, Sums> tiers;
  for (const TrafficClass& traffic : workload.classes) {
    Sums& sums = tiers[traffic.tier];
    const double tokens = traffic.rate * traffic.output_mean;
    sums.requests += traffic.rate;
    sums.tokens += tokens;
    sums.peak_tokens += tokens * (traffic.burst.period_seconds > 0 ? traffic.burst.factor : 1);
  }
  double cumulative = 0;
  double peak = 0;
  for (const auto& [tier, sums] : tiers) {
    cumulative += sums.tokens;
    peak += sums.peak_tokens;
    plan->tiers.push_back(
        {tier, sums.requests, sums.tokens, sums.tokens / plan->capacity_tokens_per_s,
         cumulative / plan->capacity_tokens_per_s, peak / plan->capacity_tokens_per_s});
  }
}

void AddControl(const Workload& workload, FleetPlan* plan) {
  const Topology& topology = workload.topology;
  const double nodes = topology.nodes;
  const double zones = topology.zones;
  const double relays = std::min(nodes, zones * kRelaysPerZone);
  plan->machine_list_reads =
      relays * kRelayPollsPerSecond + (nodes - relays) * kBackstopPollsPerSecond;
  plan->config_reads = (nodes - relays) * kBackstopPollsPerSecond;
  plan->watches = relays;
  plan->claim_writes = std::min(kClaimWritesPerSecond, zones / kShortestClaimInterval);
  const double per_zone = nodes / zones;
  const double peers =
      nodes <= kFullMeshLimit ? nodes - 1 : per_zone - 1 + (zones - 1) * kRelaysPerZone / per_zone;
  plan->heartbeats_per_s = std::min(peers * kHeartbeatsPerPeerSecond, kMostHeartbeatsPerSecond);
  const double engines_owned = topology.engines / nodes;
  plan->heartbeat_bytes_per_s =
      plan->heartbeats_per_s *
      (kHeartbeatBytes + kDigestBytesPerEngine * engines_owned / kHeartbeatsPerDigest);
  double requests = 0;
  for (const TrafficClass& traffic : workload.classes) requests += traffic.rate;
  plan->request_messages_per_s = requests / nodes * kMessagesPerRequest;
}

void AddWarnings(const Workload& workload, FleetPlan* plan) {
  const Topology& topology = workload.topology;
  for (const TierLoad& tier : plan->tiers) {
    if (tier.cumulative_share > 1) {
      plan->warnings.push_back(fmt::format(
          "tier {} and above need {:.2f} of the capacity: tier {} lives on its guaranteed share",
          tier.tier, tier.cumulative_share, tier.tier));
    }
  }
  if (!plan->tiers.empty() && plan->tiers.front().peak_cumulative_share > kComfortableShare) {
    plan->warnings.push_back(fmt::format("the top tier alone needs {:.2f} of the capacity at peak",
                                         plan->tiers.front().peak_cumulative_share));
  }
  for (const TrafficClass& traffic : workload.classes) {
    if (plan->full_batch_interval_ms > ToMillis(traffic.interval_target)) {
      plan->warnings.push_back(fmt::format(
          "{}: full batches give a token every {:.1f} ms, its target is {:.1f} ms", traffic.name,
          plan->full_batch_interval_ms, ToMillis(traffic.interval_target)));
    }
  }
  if (topology.nodes < 2 * topology.zones) {
    plan->warnings.push_back("a zone has fewer than two nodes: one lost node empties it");
  }
  if (plan->machine_list_reads + plan->config_reads > kPlatformReads / 2) {
    plan->warnings.push_back("steady reads take more than half of what the platform bears");
  }
}

}  // namespace

FleetPlan MakePlan(const Workload& workload) {
  FleetPlan plan;
  const Topology& topology = workload.topology;
  plan.capacity_tokens_per_s = TokensPerSecond(topology);
  plan.capacity_without_zone =
      plan.capacity_tokens_per_s * std::max(0, topology.zones - 1) / topology.zones;
  plan.full_batch_interval_ms =
      ToMillis(topology.base_step + topology.per_sequence_step * topology.batch_limit);
  AddTiers(workload, &plan);
  AddControl(workload, &plan);
  AddWarnings(workload, &plan);
  return plan;
}

}  // namespace cartsail
