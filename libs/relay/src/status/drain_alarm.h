// Tells when a drained zone leaves too little room for a service. Pure.
#pragma once

#include <map>
#include <string>

#include "cartsail/base/clock.h"
#include "status/service_capacity.h"

namespace cartsail {

class DrainAlarm {
 public:
  // Requests, as a share of the slots that are left. Above it a rise by a quarter, as between the
  // mean and the top of a daily wave, finds all slots taken.
  static constexpr double kMaxLoadShare = 0.8;
  // Between two alarms about one service.
  static constexpr Duration kInterval = seconds(10);

  // True when an alarm is to be given now.
  bool IsDue(const ServiceCapacity& capacity, TimePoint now);

 private:
  std::map<std::string, TimePoint> last_alarm_;  // by service
};

}  // namespace cartsail
