#include "cartsail/dispatch/backend_notices.h"

#include <algorithm>

#include "cartsail/dispatch/query_schedule.h"

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

// A notice that is known already leaves the schedule of queries, and what they brought, as it is.
void BackendNotices::CarryLeaving(BackendKey to, const Backoff& hold,
                                  std::chrono::milliseconds start) {
  const TimePoint until = EndFor(hold, start);
  if (until == TimePoint{}) return;
  AmbiguousLeaving& known = ambiguous_leaving_[to];
  if (known.hold.until != TimePoint{} && hold.told.at <= known.hold.told.at) return;
  known.hold = {until, hold.told};
  known.queries = 0;
  known.next_query = hold.told.at + QueryIntervalAfter(0);
}

void BackendNotices::CarryToSuccessor(BackendKey earlier, BackendKey later,
                                      std::chrono::milliseconds start) {
  const auto entry = backoffs_.find(earlier);
  if (entry != backoffs_.end()) {
    const Backoffs backoffs = entry->second;
    Carry(later, backoffs.longest, start);
    Carry(later, backoffs.latest, start);
  }
  const auto ambiguous = ambiguous_leaving_.find(earlier);
  if (ambiguous != ambiguous_leaving_.end() && !ambiguous->second.IsDisproved()) {
    const Backoff hold = ambiguous->second.hold;
    CarryLeaving(later, hold, start);
  }
  const auto leaving = leaving_.find(earlier);
  if (leaving == leaving_.end()) return;
  // Leaving is never transferred permanently: a node whose clock is an hour ahead would take every
  // engine that left and restarted within that hour for a leaving one, and report this to all
  // nodes.
  const NoticeTime told = leaving->second;
  CarryLeaving(later, {told.at + kMaxAmbiguousHold, told}, start);
}

std::vector<BackendKey> BackendNotices::DueForLeavingQuery(TimePoint now) const {
  std::vector<BackendKey> due;
  for (const auto& [backend, ambiguous] : ambiguous_leaving_) {
    if (!ambiguous.IsInForce(now) || now < ambiguous.next_query) continue;
    if (!RequestedBackoffLeft(backend, now).has_value()) due.push_back(backend);
  }
  return due;
}

void BackendNotices::NoteLeavingQuery(BackendKey backend, TimePoint now) {
  const auto entry = ambiguous_leaving_.find(backend);
  if (entry == ambiguous_leaving_.end()) return;
  entry->second.next_query = now + QueryIntervalAfter(++entry->second.queries);
}

bool BackendNotices::NoteNotLeaving(BackendKey backend, TimePoint asked) {
  const auto entry = ambiguous_leaving_.find(backend);
  if (entry == ambiguous_leaving_.end()) return false;
  AmbiguousLeaving& ambiguous = entry->second;
  const bool was_in_force = ambiguous.IsInForce(asked);
  ambiguous.not_leaving = std::max(ambiguous.not_leaving, asked);
  return was_in_force && !ambiguous.IsInForce(asked);
}

// As BackoffLeft(), for what the back end asked for.
std::optional<Duration> BackendNotices::RequestedBackoffLeft(BackendKey backend,
                                                             TimePoint now) const {
  const auto backoff = backoffs_.find(backend);
  if (backoff == backoffs_.end() || backoff->second.longest.until <= now) return std::nullopt;
  return backoff->second.longest.until - now;
}

std::optional<Duration> BackendNotices::BackoffLeft(BackendKey backend, TimePoint now) const {
  const std::optional<Duration> requested = RequestedBackoffLeft(backend, now);
  if (!MayBeLeaving(backend, now)) return requested;
  const Duration held = ambiguous_leaving_.at(backend).hold.until - now;
  return std::max(requested.value_or(held), held);
}

// True when it may have sent the leaving notice of its predecessor.
bool BackendNotices::MayBeLeaving(BackendKey backend, TimePoint now) const {
  const auto ambiguous = ambiguous_leaving_.find(backend);
  return ambiguous != ambiguous_leaving_.end() && ambiguous->second.IsInForce(now);
}

std::vector<BackendKey> BackendNotices::BackingOff(TimePoint now) const {
  std::vector<BackendKey> backing_off;
  for (const auto& [backend, backoffs] : backoffs_) {
    if (backoffs.longest.until > now) backing_off.push_back(backend);
  }
  for (const auto& [backend, ambiguous] : ambiguous_leaving_) {
    if (!ambiguous.IsInForce(now)) continue;
    if (!RequestedBackoffLeft(backend, now).has_value()) backing_off.push_back(backend);
  }
  return backing_off;
}

void BackendNotices::Expire(TimePoint now) {
  std::erase_if(backoffs_, [now](const auto& entry) { return entry.second.longest.until <= now; });
  std::erase_if(ambiguous_leaving_,
                [now](const auto& entry) { return entry.second.hold.until <= now; });
}

}  // namespace cartsail
