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

bool BackendNotices::NoteBackoff(BackendKey backend, Duration backoff, TimePoint now,
                                 std::chrono::milliseconds told) {
  if (backoff <= Duration(0)) return false;
  Backoff& known = backoffs_[backend];
  const bool is_new = known.until <= now;
  known.until = std::max(known.until, now + backoff);
  known.told = told;
  return is_new;
}

void BackendNotices::Succeed(BackendKey earlier, BackendKey later,
                             std::chrono::milliseconds start) {
  const auto backoff = backoffs_.find(earlier);
  if (backoff != backoffs_.end() && backoff->second.told + kMostClockSkew >= start) {
    const Backoff carried = backoff->second;
    backoffs_[later] = carried;
  }
  const auto leaving = leaving_.find(earlier);
  if (leaving == leaving_.end() || leaving->second < start + kMostClockSkew) return;
  const std::chrono::milliseconds told = leaving->second;
  NoteLeaving(later, told);
}

std::optional<Duration> BackendNotices::BackoffLeft(BackendKey backend, TimePoint now) const {
  const auto backoff = backoffs_.find(backend);
  if (backoff == backoffs_.end() || backoff->second.until <= now) return std::nullopt;
  return backoff->second.until - now;
}

std::vector<BackendKey> BackendNotices::BackingOff(TimePoint now) const {
  std::vector<BackendKey> backing_off;
  for (const auto& [backend, backoff] : backoffs_) {
    if (backoff.until > now) backing_off.push_back(backend);
  }
  return backing_off;
}

void BackendNotices::Expire(TimePoint now) {
  std::erase_if(backoffs_, [now](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace cartsail
