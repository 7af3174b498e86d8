#include "cartsail/dispatch/grant_limiter.h"

#include <algorithm>
#include <iterator>

namespace cartsail {
namespace {

using Grants = std::vector<TimePoint>;

// The first grant after `time`.
Grants::const_iterator FirstAfter(const Grants& grants, TimePoint time) {
  return std::upper_bound(grants.begin(), grants.end(), time);
}

// Drops grants older than kLongestWindow, but keeps the newest one.
void DropExpired(Grants* grants, TimePoint now) {
  if (grants->empty()) return;
  const auto kept = FirstAfter(*grants, now - GrantLimiter::kLongestWindow);
  grants->erase(grants->begin(), std::min(kept, std::prev(grants->cend())));
}

}  // namespace

void GrantLimiter::NoteGrant(BackendKey backend, TimePoint now) {
  Grants& grants = granted_[backend];
  DropExpired(&grants, now);
  grants.push_back(now);
}

Duration GrantLimiter::WaitFor(BackendKey backend, const GrantAllowance& allowance,
                               TimePoint now) const {
  const auto entry = granted_.find(backend);
  if (entry == granted_.end()) return Duration(0);
  const Grants& grants = entry->second;
  const auto most = static_cast<size_t>(allowance.most);
  if (grants.size() < most) return Duration(0);
  const TimePoint oldest_of_most = grants[grants.size() - most];
  if (oldest_of_most < allowance.since) return Duration(0);
  return std::max(oldest_of_most + allowance.window - now, Duration(0));
}

void GrantLimiter::Expire(TimePoint now) {
  for (auto& [backend, grants] : granted_) DropExpired(&grants, now);
  std::erase_if(granted_, [now](const auto& entry) {
    return now - entry.second.back() >= kLongestSingleGrantWindow;
  });
}

}  // namespace cartsail
