#include "cartsail/dispatch/backend_notices.h"

#include <algorithm>

namespace cartsail {

bool BackendNotices::NoteLeaving(BackendKey backend, const NoticeTime& told) {
  if (!leaving_.emplace(backend, told).second) return false;
  leaving_order_.push_back(backend);
  if (leaving_order_.size() > kMaxLeavingRemembered) {
    leaving_.erase(leaving_order_.front());
    leaving_order_.pop_front();
  }
  return true;
}

bool BackendNotices::NoteBackoff(BackendKey backend, Duration backoff, const NoticeTime& told) {
  if (backoff <= Duration(0)) return false;
  Backoffs& known = backoffs_[backend];
  const bool is_new = known.longest.until <= told.at;
  known.latest = {told.at + backoff, told};
  if (known.latest.until >= known.longest.until) known.longest = known.latest;
  return is_new;
}

// Until when the back-off binds a process started at `start`; TimePoint{} when it does not.
TimePoint BackendNotices::EndFor(const Backoff& backoff, std::chrono::milliseconds start) {
  const std::chrono::milliseconds told = backoff.told.wall;
  if (told + kMaxClockSkew < start) return TimePoint{};
  if (told >= start + kMaxClockSkew) return backoff.until;
  return std::min(backoff.until, backoff.told.at + kMaxAmbiguousHold);
}

void BackendNotices::Carry(BackendKey to, const Backoff& backoff, std::chrono::milliseconds start) {
  const TimePoint until = EndFor(backoff, start);
  if (until == TimePoint{}) return;
  Backoffs& known = backoffs_[to];
  known.latest = {until, backoff.told};
  if (until >= known.longest.until) known.longest = known.latest;
}

void BackendNotices::CarryToSuccessor(BackendKey earlier, BackendKey later,
                                      std::chrono::milliseconds start) {
  const auto entry = backoffs_.find(earlier);
  if (entry != backoffs_.end()) {
    const Backoffs backoffs = entry->second;
    Carry(later, backoffs.longest, start);
    Carry(later, backoffs.latest, start);
  }
  const auto leaving = leaving_.find(earlier);
  if (leaving == leaving_.end()) return;
  // Leaving is never transferred permanently: a node whose clock is an hour ahead would take every
  // engine that left and restarted within that hour for a leaving one, and report this to all
  // nodes.
  const NoticeTime told = leaving->second;
  Carry(later, {told.at + kMaxAmbiguousHold, told}, start);
}

std::optional<Duration> BackendNotices::BackoffLeft(BackendKey backend, TimePoint now) const {
  const auto backoff = backoffs_.find(backend);
  if (backoff == backoffs_.end() || backoff->second.longest.until <= now) return std::nullopt;
  return backoff->second.longest.until - now;
}

std::vector<BackendKey> BackendNotices::BackingOff(TimePoint now) const {
  std::vector<BackendKey> backing_off;
  for (const auto& [backend, backoffs] : backoffs_) {
    if (backoffs.longest.until > now) backing_off.push_back(backend);
  }
  return backing_off;
}

void BackendNotices::Expire(TimePoint now) {
  std::erase_if(backoffs_, [now](const auto& entry) { return entry.second.longest.until <= now; });
}

}  // namespace cartsail
