// Clocks, points in time and durations, in nanoseconds. Decision logic never reads a clock: it is
// passed the time with every event.
#pragma once

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace cartsail {

using Duration = std::chrono::nanoseconds;

// Monotonic clock that keeps running while the machine is suspended, as leases, deadlines and ages
// require: time passes for all other machines. std::chrono::steady_clock stops during suspension,
// so a node that was suspended for 5 s would still consider a lease of 3 s valid.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): chrono's name

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

// This machine's time of day, since the Unix epoch. May jump in either direction.
inline std::chrono::milliseconds WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline double ToMillis(Duration duration) { return ToSeconds(duration) * 1e3; }

// Limit of durations made of numbers from outside: any sum of a few such durations and a point in
// time still fits.
inline constexpr Duration kLongestDuration = std::chrono::hours(24 * 365 * 10);

// `value`, at most kLongestDuration in either direction: a larger one would overflow as a Duration.
template <typename Rep, typename Period>
constexpr Duration Bounded(std::chrono::duration<Rep, Period> value) {
  using Unit = std::chrono::duration<Rep, Period>;
  const Unit longest = std::chrono::duration_cast<Unit>(kLongestDuration);
  return std::chrono::duration_cast<Duration>(std::clamp(value, -longest, longest));
}

// At most kLongestDuration in either direction.
constexpr Duration FromMillis(int64_t value) { return Bounded(std::chrono::milliseconds(value)); }

// At most kLongestDuration in either direction; 0 for a value that is not a number.
inline Duration FromSeconds(double value) {
  if (std::isnan(value)) return Duration(0);
  return Bounded(std::chrono::duration<double>(value));
}

}  // namespace cartsail
