#include "status/drain_alarm.h"

namespace cartsail {

bool DrainAlarm::IsDue(const ServiceRoom& room, TimePoint now) {
  if (room.drained_backends == 0) return false;
  const double limit = kCrowdedShare * static_cast<double>(room.slots);
  if (static_cast<double>(room.AllRequests()) <= limit) return false;
  const auto given = given_.find(room.service);
  if (given != given_.end() && now - given->second < kInterval) return false;
  given_[room.service] = now;
  return true;
}

}  // namespace cartsail
