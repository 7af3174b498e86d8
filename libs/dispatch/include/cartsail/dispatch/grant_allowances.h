// What one node may grant to a metered back end, so that the sum over all nodes stays within what
// the back end bears. Pure.
#pragma once

#include <array>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/grant_limiter.h"
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
inline constexpr int kMaxGrantingNodes = 3;

// What is sent in one second was granted within its window.
GrantAllowance AllowanceOfCold(const WarmUp& warm_up, const ColdBound& bound);

// What a back end that has named a rate may get in any window, over all nodes: what the rate allows
// times the factor, plus the burst; from `hearing` after it named the rate first.
struct RateLimitBound {
  Duration window = seconds(4);
  double rate_factor = 1.5;
  double burst = 5;  // requests
  Duration hearing = seconds(3);
};

// Of the bound that one node uses. The rest is for what another one granted before a takeover.
inline constexpr double kRateBoundShare = 2.0 / 3;

// A back end that named less gets so many requests a second all the same: only its answers tell
// that it takes more again.
inline constexpr double kMinGrantedRate = 0.25;

// Grants are spread over the second in so many parts, so that a limited back end gets no bursts.
inline constexpr double kPacingIntervalsPerSecond = 4;

// What a node that may grant the part `share` (0 to 1) of what a back end takes grants in the long
// run, in requests a second.
double GrantedRate(double per_s, double share);

// For a back end that takes `per_s` requests a second, of which this node may grant the part
// `share` (0 to 1), and that named a rate first at `first_named`. All of them hold.
std::array<GrantAllowance, 2> AllowancesOfLimited(double per_s, double share, TimePoint first_named,
                                                  const RateLimitBound& bound = {});

}  // namespace cartsail
