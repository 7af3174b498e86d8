// Timers by the clock that all points in time are taken from.
#pragma once

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>

#include "cartsail/base/clock.h"

namespace cartsail {

// The operating system's waits stand still while the machine is suspended: no wait is longer than
// this, and what came due meanwhile is noticed by then. Nodes wake up more often anyway.
inline constexpr Duration kMaxTimerWait = milliseconds(100);

struct BootWaitTraits {
  static Duration to_wait_duration(const Duration& duration) {
    return std::min(duration, kMaxTimerWait);
  }
  static Duration to_wait_duration(const TimePoint& time) { return to_wait_duration(time - Now()); }
};

using Timer = boost::asio::basic_waitable_timer<BootClock, BootWaitTraits>;

}  // namespace cartsail
