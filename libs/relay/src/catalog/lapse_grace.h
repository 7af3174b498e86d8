// Backend entries expire while the store is unavailable, and live backends write them again soon
// after it recovers. Determines how long a missing entry then counts as expired instead of removed.
// Pure.
#pragma once

#include <optional>

#include "cartsail/base/clock.h"

namespace cartsail {

class LapseGrace {
 public:
  // Records that the store answered this node or a peer at `answered`, as learned at `now`.
  // `last_answer`: the previous known answer; TimePoint() when there is none.
  void NoteAnswer(TimePoint last_answer, TimePoint answered, TimePoint now) {
    const bool was_unavailable = last_answer != TimePoint() && answered - last_answer >= kMinOutage;
    if (was_unavailable) until_ = now + kGrace;
  }

  // Time until which an entry missing at `now` counts as expired; nullopt: it was removed.
  std::optional<TimePoint> MissingUntil(TimePoint now) const {
    if (now >= until_) return std::nullopt;
    return until_;
  }

  // Time without an answer from the store from which on it counts as unavailable.
  static constexpr Duration kMinOutage = milliseconds(2800);
  // Time after an outage in which missing entries count as expired.
  static constexpr Duration kGrace = milliseconds(1800);

 private:
  TimePoint until_{};
};

}  // namespace cartsail
