// How many requests one node grants to each cold back end. A back end that has just started bears
// few requests; the bound holds for the sum over all nodes, in touch with each other or not. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

// What a cold back end may get in any second, over all nodes: its rate times the factor, plus the
// burst. The defaults are those of the first deployment that asked for it.
struct ColdBound {
  double rate_factor = 1.5;
  double burst = 5;  // requests
};

// While coordinators take over from each other, or views of the fleet differ, so many nodes may
// believe at once that they are the first one of a service: the one that was, one that took over
// and was frozen, and the one that took over from it. Each uses that share of the bound at most.
inline constexpr int kMostGrantingNodes = 3;

// A request is sent within this time from its grant, or not at all: a node that was frozen with
// grants must not send all of them at once when it goes on. A new connection takes some
// milliseconds.
inline constexpr Duration kColdGrantHolds = milliseconds(250);

// Requests that one node may grant to one cold back end in a window.
int64_t ColdGrantsOfOneNode(const WarmUp& warm_up, const ColdBound& bound);

class WarmUpLimiter {
 public:
  // What is sent in one second was granted within this time.
  static constexpr Duration kWindow = seconds(1) + kColdGrantHolds;

  void NoteGrant(BackendKey backend, TimePoint now);

  // The time until one more request may be granted, where `grants` may be in a window; 0: now.
  Duration WaitFor(BackendKey backend, int64_t grants, TimePoint now) const;

  // Drops windows that have passed. To be called about once a second.
  void Expire(TimePoint now);

 private:
  std::unordered_map<BackendKey, std::deque<TimePoint>> granted_;
};

}  // namespace cartsail
