// Usage: how many requests of each tenant engines began to run in a window of time. Windows have
// equal lengths and are numbered from the start of 1970.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cartsail/duties/fleet_clock.h"

namespace cartsail {

using WindowNumber = int64_t;

// Requests by tenant.
using TenantCounts = std::map<std::string, int64_t>;

// What is due when.
struct UsageSchedule {
  std::chrono::milliseconds window{5000};  // length; 0: no usage is due
  std::chrono::milliseconds due{10000};    // a report is due so long after its window's end
};

inline WindowNumber WindowAt(WallTime wall, const UsageSchedule& terms) {
  return wall.count() / terms.window.count();
}

inline WallTime EndOf(WindowNumber window, const UsageSchedule& terms) {
  return WallTime((window + 1) * terms.window.count());
}

}  // namespace cartsail
