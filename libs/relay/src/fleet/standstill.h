// Notices that this process stood still, as on an overloaded machine or in a suspension, and tells
// how long data that is read now may have waited. Pure.
#pragma once

#include "cartsail/base/clock.h"

namespace cartsail {

class Standstill {
 public:
  // Shorter gaps are usual on busy machines.
  static constexpr Duration kMinLength = milliseconds(500);

  // To be called several times per kMinLength, by a timer. Returns the length of a standstill that
  // has just ended; 0 if there was none.
  Duration Beat(TimePoint now) {
    const Duration gap = beat_ == TimePoint() ? Duration(0) : now - beat_;
    previous_beat_ = beat_;
    beat_ = now;
    if (gap <= kMinLength) return Duration(0);
    ended_ = now;
    return gap;
  }

  // Data that is read from a connection at `now` arrived after this: all that had arrived before
  // the last beat but one was ready to be read at the last one, and has been handled since.
  TimePoint ArrivedAfter(TimePoint now) const {
    if (beat_ == TimePoint()) return now;
    return previous_beat_;
  }

  // When the last standstill ended, `now` if that is not known by a beat yet; TimePoint() if there
  // was none.
  TimePoint LastEnded(TimePoint now) const {
    const bool has_just_ended = beat_ != TimePoint() && now - beat_ > kMinLength;
    return has_just_ended ? now : ended_;
  }

 private:
  TimePoint beat_{};
  TimePoint previous_beat_{};
  TimePoint ended_{};
};

}  // namespace cartsail
