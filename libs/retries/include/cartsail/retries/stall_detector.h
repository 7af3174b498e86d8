// Tells whether what this process reads now came about now: after it stood still it reads what has
// waited meanwhile. Pure.
#pragma once

#include "cartsail/base/clock.h"

namespace cartsail {

// Requests are read within this time after their callers sent them, or do not count.
inline constexpr Duration kMaxReadDelay = milliseconds(500);

class StallDetector {
 public:
  static constexpr Duration kInterval = milliseconds(100);  // between beats

  // To be called every kInterval.
  void Beat(TimePoint now);

  bool IsFresh(TimePoint now) const;

 private:
  TimePoint beat_{};
  TimePoint fresh_from_{};
};

}  // namespace cartsail
