#include "cartsail/dispatch/grant_allowances.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

int64_t AtLeastOneRequest(double requests) {
  return std::max<int64_t>(static_cast<int64_t>(std::floor(requests)), 1);
}

}  // namespace

GrantAllowance AllowanceOfCold(const WarmUp& warm_up, const ColdBound& bound) {
  const double all = warm_up.requests_per_s * bound.rate_factor + bound.burst;
  return {AtLeastOneRequest(all / kMaxGrantingNodes), seconds(1) + kGrantLifetime};
}

double GrantedRate(double per_s, double share) { return std::max(per_s, kMinGrantedRate) * share; }

std::array<GrantAllowance, 2> AllowancesOfLimited(double per_s, double share, TimePoint first_named,
                                                  const RateLimitBound& bound) {
  const double rate = GrantedRate(per_s, share);
  const int64_t at_once = AtLeastOneRequest(rate / kPacingIntervalsPerSecond);
  const GrantAllowance pace{at_once, FromSeconds(static_cast<double>(at_once) / rate)};
  const double in_window = bound.rate_factor * per_s * ToSeconds(bound.window) + bound.burst;
  // Requests sent in one window of the bound were granted within this window.
  const Duration window = bound.window + kGrantLifetime;
  // The first windows for which the bound applies also count requests sent before the rate was
  // advertised.
  const GrantAllowance sum{AtLeastOneRequest(kRateBoundShare * in_window), window,
                           first_named + bound.hearing - window};
  return {pace, sum};
}

}  // namespace cartsail
