// The time of day as the fleet has it: the median of what this node's clock and its peers' clocks
// show, so that clocks that are off, or jump, on less than half of the nodes have no effect. Pure.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "cartsail/base/clock.h"

namespace cartsail {

// Since the start of 1970.
using WallTime = std::chrono::milliseconds;

class FleetClock {
 public:
  // A peer's clock showed `wall` in a message that came at `now`.
  void AddPeerReading(const std::string& host, WallTime wall, TimePoint now);

  // This node's own clock shows `wall`.
  void AddOwnReading(WallTime wall, TimePoint now);

  // The median, `now`; 0 before any clock was noted.
  WallTime At(TimePoint now) const;

 private:
  struct Reading {
    std::chrono::milliseconds offset;  // wall clock less monotonic clock
    TimePoint noted;
  };

  std::map<std::string, Reading> readings_;  // by host; this node's own has none
};

}  // namespace cartsail
