#include "status/drain_alarm.h"

namespace cartsail {

bool DrainAlarm::IsDue(const ServiceCapacity& capacity, TimePoint now) {
  if (capacity.drained_backends == 0) return false;
  const double limit = kMaxLoadShare * static_cast<double>(capacity.slots);
  if (static_cast<double>(capacity.AllRequests()) <= limit) return false;
  const auto given = last_alarm_.find(capacity.service);
  if (given != last_alarm_.end() && now - given->second < kInterval) return false;
  last_alarm_[capacity.service] = now;
  return true;
}

}  // namespace cartsail
