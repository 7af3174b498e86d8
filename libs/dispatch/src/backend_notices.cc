#include "cartsail/dispatch/backend_notices.h"

#include <algorithm>

namespace cartsail {

bool BackendNotices::NoteLeaving(BackendKey backend, std::chrono::milliseconds told) {
  if (!leaving_.emplace(backend, told).second) return false;
  leaving_order_.push_back(backend);
  if (leaving_order_.size() > kMostLeaving) {
    leaving_.erase(leaving_order_.front());
    leaving_order_.pop_front();
  }
  return true;
}

bool BackendNotices::NoteRest(BackendKey backend, Duration rest, TimePoint now,
                              std::chrono::milliseconds told) {
  if (rest <= Duration(0)) return false;
  Rest& known = rests_[backend];
  const bool is_new = known.until <= now;
  known.until = std::max(known.until, now + rest);
  known.told = told;
  return is_new;
}

void BackendNotices::Succeed(BackendKey earlier, BackendKey later,
                             std::chrono::milliseconds start) {
  const auto rest = rests_.find(earlier);
  if (rest != rests_.end() && rest->second.told + kMostClockSkew >= start) {
    const Rest carried = rest->second;
    rests_[later] = carried;
  }
  const auto leaving = leaving_.find(earlier);
  if (leaving == leaving_.end() || leaving->second < start + kMostClockSkew) return;
  const std::chrono::milliseconds told = leaving->second;
  NoteLeaving(later, told);
}

std::optional<Duration> BackendNotices::RestLeft(BackendKey backend, TimePoint now) const {
  const auto rest = rests_.find(backend);
  if (rest == rests_.end() || rest->second.until <= now) return std::nullopt;
  return rest->second.until - now;
}

std::vector<BackendKey> BackendNotices::Resting(TimePoint now) const {
  std::vector<BackendKey> resting;
  for (const auto& [backend, rest] : rests_) {
    if (rest.until > now) resting.push_back(backend);
  }
  return resting;
}

void BackendNotices::Expire(TimePoint now) {
  std::erase_if(rests_, [now](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace cartsail
