#include "cartsail/dispatch/warm_up_limiter.h"

#include <algorithm>
#include <cmath>

namespace cartsail {

int64_t ColdGrantsOfOneNode(const WarmUp& warm_up, const ColdBound& bound) {
  const double all = warm_up.requests_per_s * bound.rate_factor + bound.burst;
  return std::max<int64_t>(static_cast<int64_t>(std::floor(all / kMostGrantingNodes)), 1);
}

void WarmUpLimiter::NoteGrant(BackendKey backend, TimePoint now) {
  std::deque<TimePoint>& granted = granted_[backend];
  while (!granted.empty() && now - granted.front() >= kWindow) granted.pop_front();
  granted.push_back(now);
}

Duration WarmUpLimiter::WaitFor(BackendKey backend, int64_t grants, TimePoint now) const {
  const auto entry = granted_.find(backend);
  if (entry == granted_.end()) return Duration(0);
  const std::deque<TimePoint>& granted = entry->second;
  const auto most = static_cast<size_t>(grants);
  if (granted.size() < most) return Duration(0);
  const TimePoint opens = granted[granted.size() - most] + kWindow;
  return std::max(opens - now, Duration(0));
}

void WarmUpLimiter::Expire(TimePoint now) {
  std::erase_if(granted_,
                [now](const auto& entry) { return now - entry.second.back() >= kWindow; });
}

}  // namespace cartsail
