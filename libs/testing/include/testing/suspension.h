// The clocks of a test program as those of a machine that was suspended: CLOCK_BOOTTIME and the
// time of day have gone on, the steady clock has not. To be included by one source file of the
// program, since it takes the place of the C library's clock_gettime().
#pragma once

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <chrono>

namespace cartsail::testing {

inline std::atomic<int64_t> suspended_ns{0};

// From now on the machine was suspended for so much longer.
inline void Suspend(std::chrono::nanoseconds time) { suspended_ns += time.count(); }

}  // namespace cartsail::testing

extern "C" inline __attribute__((used)) int clock_gettime(clockid_t clock,
                                                          timespec* time) noexcept {
  constexpr int64_t kNanosecondsPerSecond = 1000000000;
  const long failed = syscall(SYS_clock_gettime, clock, time);
  if (failed != 0) return -1;
  const bool goes_on = clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME;
  if (!goes_on) return 0;
  const int64_t sum = time->tv_nsec + cartsail::testing::suspended_ns;
  time->tv_sec += sum / kNanosecondsPerSecond;
  time->tv_nsec = sum % kNanosecondsPerSecond;
  return 0;
}
