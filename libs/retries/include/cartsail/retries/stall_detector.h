// Detects pauses of this process: after one it reads data that queued up meanwhile and is not
// recent. Performs no I/O.
#pragma once

#include "cartsail/base/clock.h"

namespace cartsail {

// Longest time from when a client sends a request until this process reads it. Requests that are
// read later do not count towards a retry budget.
inline constexpr Duration kMaxReadDelay = milliseconds(500);

class StallDetector {
 public:
  static constexpr Duration kInterval = milliseconds(100);  // between calls of Beat()

  // Call every kInterval.
  void Beat(TimePoint now);

  // True if data read now arrived recently; false before the first Beat(), while Beat() calls are
  // missing, and for some time after they resume.

  bool IsFresh(TimePoint now) const;

 private:
  TimePoint beat_{};
  TimePoint fresh_from_{};
};

}  // namespace cartsail
