// Asio timers that run on BootClock.
#pragma once

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>

#include "cartsail/base/clock.h"

namespace cartsail {

// Longest wait before a timer checks the clock again. The operating system's waits stop while the
// machine is suspended, so this bounds how late an expiry during a suspension is noticed. Nodes
// wake up more often anyway.
inline constexpr Duration kMaxTimerWait = milliseconds(100);

struct BootWaitTraits {
  static Duration to_wait_duration(const Duration& duration) {
    return std::min(duration, kMaxTimerWait);
  }
  static Duration to_wait_duration(const TimePoint& time) { return to_wait_duration(time - Now()); }
};

using Timer = boost::asio::basic_waitable_timer<BootClock, BootWaitTraits>;

}  // namespace cartsail
