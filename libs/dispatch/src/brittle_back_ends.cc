#include "cartsail/dispatch/brittle_back_ends.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

// Requests run at once in its slots, and only those that wait are turned away: while fewer than
// these are taken there is room, unless prompts fill its memory.
constexpr double kSafeShareOfSlots = 0.75;
// Of what it bears. The rest is for what another node granted before a takeover.
constexpr double kShareOfBorne = 0.5;
// What is sent in one second was granted within this time.
constexpr Duration kWindow = seconds(1) + kGrantLifetime;

}  // namespace

BrittleAllowance AllowanceOfBrittle(double bears_per_s, double share, int64_t slots) {
  BrittleAllowance allowance;
  allowance.safe_requests =
      static_cast<int64_t>(std::floor(kSafeShareOfSlots * share * static_cast<double>(slots)));
  const double most = std::floor(kShareOfBorne * share * bears_per_s);
  allowance.beyond = {static_cast<int64_t>(most), kWindow};
  return allowance;
}

Duration BrittleBackEnds::WaitFor(BackendKey backend, const BrittleAllowance& allowance,
                                  int64_t requests, const GrantLimiter& grants,
                                  TimePoint now) const {
  const auto turned_away = turned_away_.find(backend);
  if (turned_away != turned_away_.end() && now - turned_away->second < kWindow) {
    return turned_away->second + kWindow - now;
  }
  if (requests < allowance.safe_requests) return Duration(0);
  if (allowance.beyond.most <= 0) return kWindow;
  return grants.WaitFor(backend, allowance.beyond, now);
}

void BrittleBackEnds::Expire(TimePoint now) {
  std::erase_if(turned_away_, [now](const auto& entry) { return now - entry.second >= kWindow; });
}

}  // namespace cartsail
