// Tells when a drained zone leaves too little room for a service. Pure.
#pragma once

#include <map>
#include <string>

#include "cartsail/base/clock.h"
#include "status/service_room.h"

namespace cartsail {

class DrainAlarm {
 public:
  // Requests, as a share of the slots that are left. Above it a rise by a quarter, as between the
  // mean and the top of a daily wave, finds all slots taken.
  static constexpr double kCrowdedShare = 0.8;
  // Between two alarms about one service.
  static constexpr Duration kInterval = seconds(10);

  // True when an alarm is to be given now.
  bool IsDue(const ServiceRoom& room, TimePoint now);

 private:
  std::map<std::string, TimePoint> given_;  // by service
};

}  // namespace cartsail
