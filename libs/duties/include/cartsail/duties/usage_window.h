// Usage is the number of requests of each tenant that engines began to run in a time window.
// Windows have equal lengths and are numbered from the Unix epoch.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cartsail/duties/fleet_clock.h"

namespace cartsail {

using WindowNumber = int64_t;

// Number of requests by tenant.
using TenantCounts = std::map<std::string, int64_t>;

// Length of the windows and deadline of their reports.
struct UsageSchedule {
  std::chrono::milliseconds window{5000};  // length; 0: usage is not reported
  std::chrono::milliseconds due{10000};    // deadline of a report, from its window's end
};

// The window that contains `wall`. The length must not be 0.
inline WindowNumber WindowAt(WallTime wall, const UsageSchedule& schedule) {
  return wall.count() / schedule.window.count();
}

inline WallTime EndOf(WindowNumber window, const UsageSchedule& schedule) {
  return WallTime((window + 1) * schedule.window.count());
}

}  // namespace cartsail
