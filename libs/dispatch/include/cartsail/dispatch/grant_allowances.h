// How many requests one node may grant to a metered back end, so that the sum over all nodes stays
// within what the back end accepts. Performs no I/O.
#pragma once

#include <array>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/grant_limiter.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

// The most that a cold back end may receive in any second from all nodes together: its rate times
// `rate_factor`, plus `burst`. The defaults are those of the first deployment that required a
// bound.
struct ColdBound {
  double rate_factor = 1.5;
  double burst = 5;  // requests
};

// Number of nodes that may consider themselves the first coordinator of a service at the same time,
// during takeovers or while views of the fleet differ: the previous one, one that took over and was
// then frozen, and the one that took over from it. Each uses at most 1 / kMaxGrantingNodes of the
// bound.
inline constexpr int kMaxGrantingNodes = 3;

// The allowance of one node for a cold back end. The window is one second plus kGrantLifetime,
// because what is sent in one second was granted within that window.
GrantAllowance AllowanceOfCold(const WarmUp& warm_up, const ColdBound& bound);

// The most that a back end with an advertised rate may receive in any `window` from all nodes
// together: the rate over that window times `rate_factor`, plus `burst`. Applies once `hearing`,
// the time in which all nodes learn of the rate, has passed since the back end first advertised
// one.
struct RateLimitBound {
  Duration window = seconds(4);
  double rate_factor = 1.5;
  double burst = 5;  // requests
  Duration hearing = seconds(3);
};

// Fraction of RateLimitBound that one node uses. The rest is for grants that another node made
// before a takeover.
inline constexpr double kRateBoundShare = 2.0 / 3;

// Smallest rate granted, in requests a second, even when the back end advertised less: only its
// answers show when it accepts more again.
inline constexpr double kMinGrantedRate = 0.25;

// Grants are paced in this many intervals a second, so that a rate-limited back end receives no
// bursts.
inline constexpr double kPacingIntervalsPerSecond = 4;

// Long-run rate, in requests a second, of a node that may grant the fraction `share` (0 to 1) of
// the rate `per_s` that a back end accepts.
double GrantedRate(double per_s, double share);

// Allowances for a back end that accepts `per_s` requests a second, of which this node may grant
// the fraction `share` (0 to 1), and that first advertised a rate at `first_named`. All of them
// must hold.
std::array<GrantAllowance, 2> AllowancesOfLimited(double per_s, double share, TimePoint first_named,
                                                  const RateLimitBound& bound = {});

}  // namespace cartsail
