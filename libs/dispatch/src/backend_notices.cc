#include "cartsail/dispatch/backend_notices.h"

#include <algorithm>

namespace cartsail {

bool BackendNotices::NoteLeaving(BackendKey backend) {
  if (!leaving_.insert(backend).second) return false;
  leaving_order_.push_back(backend);
  if (leaving_order_.size() > kMostLeaving) {
    leaving_.erase(leaving_order_.front());
    leaving_order_.pop_front();
  }
  return true;
}

bool BackendNotices::NoteRest(BackendKey backend, Duration rest, TimePoint now) {
  if (rest <= Duration(0)) return false;
  TimePoint& until = rests_until_[backend];
  const bool is_new = until <= now;
  until = std::max(until, now + rest);
  return is_new;
}

std::optional<Duration> BackendNotices::RestLeft(BackendKey backend, TimePoint now) const {
  const auto until = rests_until_.find(backend);
  if (until == rests_until_.end() || until->second <= now) return std::nullopt;
  return until->second - now;
}

std::vector<BackendKey> BackendNotices::Resting(TimePoint now) const {
  std::vector<BackendKey> resting;
  for (const auto& [backend, until] : rests_until_) {
    if (until > now) resting.push_back(backend);
  }
  return resting;
}

void BackendNotices::Expire(TimePoint now) {
  std::erase_if(rests_until_, [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace cartsail
