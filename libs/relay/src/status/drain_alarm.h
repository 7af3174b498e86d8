// Detects services that drained zones leave with too little capacity. Pure.
#pragma once

#include <map>
#include <string>

#include "cartsail/base/clock.h"
#include "status/service_capacity.h"

namespace cartsail {

class DrainAlarm {
 public:
  // Limit of the ratio of requests to remaining slots. Above it, a rise by a quarter, as between
  // the mean and the peak of a daily cycle, would take all slots.
  static constexpr double kMaxLoadShare = 0.8;
  // Minimum interval between two alarms for one service.
  static constexpr Duration kInterval = seconds(10);

  // True when an alarm should be raised now; starts a new interval then.
  bool IsDue(const ServiceCapacity& capacity, TimePoint now);

 private:
  std::map<std::string, TimePoint> last_alarm_;  // time, by service
};

}  // namespace cartsail
