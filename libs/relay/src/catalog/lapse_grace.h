// Back ends' entries lapse while the store is away, and are back soon after its return if the back
// end lives. Tells how long an entry that is missing then is to be taken for lapsed. Pure.
#pragma once

#include <optional>

#include "cartsail/base/clock.h"

namespace cartsail {

class LapseGrace {
 public:
  // Learnt at `now`: the store answered, this node or a peer, at `answered`; before that it was
  // last heard at `heard`.
  void NoteAnswer(TimePoint heard, TimePoint answered, TimePoint now) {
    const bool was_away = heard != TimePoint() && answered - heard >= kMinOutage;
    if (was_away) until_ = now + kGrace;
  }

  // Entries missing at `now` count as lapsed until then; nothing: they are gone.
  std::optional<TimePoint> MissingUntil(TimePoint now) const {
    if (now >= until_) return std::nullopt;
    return until_;
  }

  static constexpr Duration kMinOutage = milliseconds(2800);
  static constexpr Duration kGrace = milliseconds(1800);

 private:
  TimePoint until_{};
};

}  // namespace cartsail
