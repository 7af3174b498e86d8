// Plain structs that pass between the scheduler's parts. No ownership, no behaviour.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// Unique over the fleet; drawn at random by the entry node.
using RequestId = uint64_t;

// Tier 0 is served first.
inline constexpr int kSchedulerTiers = 6;

template <typename T>
using PerTier = std::array<T, kSchedulerTiers>;

// A request that wants a slot of an engine.
struct WorkItem {
  RequestId id = 0;
  std::string node;  // the entry node that asks
  int tier = 0;
  Duration waited{};       // since the request's arrival at its entry node
  Duration max_wait{};     // since arrival; then the request is given up
  Duration ttft_target{};  // since arrival
  bool preemptible = false;
};

// What a finished (or broken off) request tells about its engine.
struct ServiceReport {
  bool started = true;      // false: the engine was not reached or refused
  Duration first_token{};   // from grant to first token; 0: none came
  Duration service_time{};  // from grant to release
  int64_t tokens = 0;
  Duration token_interval{};   // mean between tokens; 0 with fewer than two
  Duration interval_target{};  // of the request's class
};

// Why a slot is asked for.
enum class SlotPurpose {
  kFirst,         // first try of a request: counts against the tenant's limits
  kRetry,         // after a failure: takes from the class's retry budget
  kContinuation,  // after a preemption or a refusal: the slot was taken through no fault of its own
};

// How the use of a slot ended, for the choice of back ends.
enum class SlotEnd {
  kServed,
  kCancelled,  // by the caller or by preemption
  kLeaving,    // the back end said that it takes no new work
  kRefused,    // the back end did not start it
  kFailed,     // the back end broke off or could not be reached
};

enum class RejectReason {
  kOverloaded,    // the pool is full at this tier
  kQueueTimeout,  // waited max_wait
  kEvicted,       // gave its place to a higher tier
  kLeaving,       // the engine takes no new work: try elsewhere
  kNotOwner,      // this node does not own the engine: try its owner
};

// What an engine's queue decides. A grant is followed by exactly one Release().
struct QueueAction {
  enum class Kind { kGrant, kReject, kPreempt };
  Kind kind = Kind::kGrant;
  RequestId id = 0;
  std::string node;
  RejectReason reason = RejectReason::kOverloaded;  // kReject
  Duration retry_after{};                           // kReject
  bool by_share = false;                            // kGrant: a guaranteed start, not preempted
};

using QueueActions = std::vector<QueueAction>;

// An engine's load as its owner knows it, published to the entry nodes.
struct QueueDigest {
  int in_flight = 0;
  int window = 0;
  PerTier<int> waiting{};
  PerTier<int> running{};
  PerTier<int> headroom{};  // slots kept free from each tier
  double release_rate = 0;  // requests finished per second, recent
};

// Values that govern one engine's queue.
struct EngineQueuePolicy {
  int initial_window = 16;
  int min_window = 2;
  int max_window = 256;
  int queue_limit = 256;
  // Largest share of the window kept free from lower tiers; 0 turns headroom off. See
  // docs/design/0002: preemption serves the top tier as well and leaves no slot idle.
  double headroom_limit = 0;
  // Time constant with which a past peak of demand is forgotten.
  Duration headroom_memory = seconds(20);
  // Guaranteed share of starts per tier.
  PerTier<double> tier_shares{0.02, 0.02, 0.02, 0.02, 0.02, 0.02};
  // A newcomer's wait is estimated with at least this share of the engine's rate left to its tier,
  // although higher tiers take more just now: their burst may end while it waits.
  double admission_floor = 0.1;
  // A waiting request preempts after this share of its first-token target; negative: never.
  double preempt_after = 0.3;
  // Whether the window follows measured token intervals.
  bool adapt_window = true;
};

}  // namespace cartsail
