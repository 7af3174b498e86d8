#include "cartsail/dispatch/brittle_back_ends.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

// Only requests that wait for a slot are rejected: while less than this fraction of the slots is
// taken there is capacity, unless prompts fill the KV cache.
constexpr double kSafeShareOfSlots = 0.75;
// Fraction of the tolerated rejections that one node uses. The rest is for grants that another node
// made before a takeover.
constexpr double kToleratedShare = 0.5;
// Requests sent within one second were granted within this window.
constexpr Duration kWindow = seconds(1) + kGrantLifetime;

}  // namespace

BrittleAllowance AllowanceOfBrittle(double tolerated_rejections_per_s, double share,
                                    int64_t slots) {
  BrittleAllowance allowance;
  allowance.safe_requests =
      static_cast<int64_t>(std::floor(kSafeShareOfSlots * share * static_cast<double>(slots)));
  const double most = std::floor(kToleratedShare * share * tolerated_rejections_per_s);
  allowance.beyond = {static_cast<int64_t>(most), kWindow};
  return allowance;
}

Duration BrittleBackEnds::WaitFor(BackendKey backend, const BrittleAllowance& allowance,
                                  int64_t requests, const GrantLimiter& grants,
                                  TimePoint now) const {
  const auto last_rejection = last_rejections_.find(backend);
  if (last_rejection != last_rejections_.end() && now - last_rejection->second < kWindow) {
    return last_rejection->second + kWindow - now;
  }
  if (requests < allowance.safe_requests) return Duration(0);
  if (allowance.beyond.most <= 0) return kWindow;
  return grants.WaitFor(backend, allowance.beyond, now);
}

void BrittleBackEnds::Expire(TimePoint now) {
  std::erase_if(last_rejections_,
                [now](const auto& entry) { return now - entry.second >= kWindow; });
}

}  // namespace cartsail
