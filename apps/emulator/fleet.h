// Many hollow nodes and engines in one process on a virtual clock. The nodes run the same pure code
// as the daemon: scheduler, membership, claims. The same seed gives the same result.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cartsail/operations/workload.h"
#include "cartsail/scheduler/types.h"
#include "measures.h"

namespace cartsail::emulator {

// How requests get to engines.
struct FleetPolicy {
  std::string name;
  // False: every node chooses alone, two random choices over load reports that lag (the baseline);
  // the engines' own queues order by priority. True: owner queues.
  bool owners = true;
  double headroom_limit = 0;
  double preempt_after = 0.3;  // negative: off
  bool prefix_affinity = true;
  bool continuation = true;  // a cut answer is continued, not begun again
  double retry_ratio = 0.1;  // negative: retries without a budget
  // Baseline only: a request without a first token after twice its target is sent to another
  // engine, while the first goes on computing.
  bool impatient = false;
  bool adapt_window = true;
  double tier_share = 0.02;
  double admission_floor = 0.1;
};

// A policy by name: alone, alone-retry, owner, owner-headroom, owner-preempt, full, ...
const std::vector<FleetPolicy>& KnownPolicies();

struct FleetFault {
  enum class Kind {
    kEngineCrash,  // loses everything, back after `seconds`
    kEngineSlow,   // at `speed` for `seconds`
    kNodeKill,     // back after `seconds`
    kZoneCut,      // all nodes of a zone killed, back after `seconds`
    kRestartAll,   // all nodes killed at once, back after `seconds`
    kPlatformOut,  // for `seconds`
  };
  Kind kind = Kind::kEngineCrash;
  double at = 0;  // seconds into the run
  double seconds = 10;
  double speed = 0.3;
  int count = 1;
};

struct FleetOptions {
  FleetPolicy policy;
  double seconds = 120;  // of traffic
  uint64_t seed = 1;
  std::vector<FleetFault> faults;
  double rate_factor = 1;
  // Beyond so many nodes a node knows only the engines of its own zone.
  int full_view_limit = 32;
  bool measure_cost = false;  // processor time of the decision logic, by the real clock
};

// What a run cost and how steady it was.
struct FleetReport {
  json::object measures;      // see Measures
  double top_attainment = 0;  // of the class with the highest tier
  double goodput = 0;
  double wasted_share = 0;
  int64_t lowest_min_window = 0;  // completions of the lowest tier in its worst 30 s
  int64_t requests = 0;
  double messages_per_node_second = 0;  // all messages between nodes
  double heartbeats_per_node_second = 0;
  double per_request_messages = 0;  // messages between nodes for one request
  int64_t platform_calls = 0;
  int64_t platform_calls_peak = 0;         // in one second
  double decision_micros_per_request = 0;  // only with measure_cost
  double decision_core_share = 0;          // of a core per node, only with measure_cost
  int64_t preemptions = 0;
  int64_t retries = 0;
  double recovery_seconds = -1;  // from the first fault until attainment of the top class is back
};

FleetReport RunFleet(const Workload& workload, const FleetOptions& options);

// Parses "kind:at[:seconds[:count[:speed]]]", such as "engine-crash:30:10:2".
absl::StatusOr<FleetFault> ParseFault(const std::string& text);

}  // namespace cartsail::emulator
