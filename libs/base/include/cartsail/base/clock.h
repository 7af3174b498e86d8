// Time as the decision logic sees it: points and durations in nanoseconds, handed in with every
// event. Pure code never reads a clock.
#pragma once

#include <chrono>

namespace cartsail {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

// The process's monotonic clock.
inline TimePoint Now() { return std::chrono::steady_clock::now(); }

// The time of day of this machine, since the start of 1970. It may jump.
inline std::chrono::milliseconds WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline double ToMillis(Duration duration) { return ToSeconds(duration) * 1e3; }

inline Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

}  // namespace cartsail
