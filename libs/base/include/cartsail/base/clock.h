// Time as the decision logic sees it: points and durations in nanoseconds, handed in with every
// event. Pure code never reads a clock.
#pragma once

#include <time.h>

#include <chrono>

namespace cartsail {

using Duration = std::chrono::nanoseconds;

// Never jumps back, and goes on while the machine is suspended: leases, deadlines and ages hold for
// the world outside, which does not stand still. std::chrono::steady_clock does: a node that was
// suspended for 5 s would take a lease of 3 s for valid.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): as chrono asks

  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

using TimePoint = BootClock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

inline TimePoint Now() { return BootClock::now(); }

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
