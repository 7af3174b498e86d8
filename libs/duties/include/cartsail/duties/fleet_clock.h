// The fleet's time of day: the median of the clocks of this node and its peers. Clocks that are
// wrong or jump on less than half of the nodes have no effect. Reads no clock itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "cartsail/base/clock.h"

namespace cartsail {

// Time since the Unix epoch.
using WallTime = std::chrono::milliseconds;

class FleetClock {
 public:
  // Records that a peer's clock showed `wall` in a message received at `now`. Ignored if `wall` is
  // not positive.
  void AddPeerReading(const std::string& host, WallTime wall, TimePoint now);

  // Records that this node's own clock shows `wall` at `now`.
  void AddOwnReading(WallTime wall, TimePoint now);

  // The median time of day at `now`; 0 before the first reading.
  WallTime At(TimePoint now) const;

 private:
  struct Reading {
    std::chrono::milliseconds offset;  // wall clock minus monotonic clock
    TimePoint updated;
  };

  std::map<std::string, Reading> readings_;  // by host; this node's own has an empty name
};

}  // namespace cartsail
