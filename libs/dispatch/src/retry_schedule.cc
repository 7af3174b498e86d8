#include "cartsail/dispatch/retry_schedule.h"

#include <algorithm>

namespace cartsail {

Duration RetrySchedule::Next(Duration wait, double per_s, TimePoint now) {
  const TimePoint behind_last = last_ + FromSeconds(1 / per_s);
  last_ = std::min(std::max(behind_last, now + wait), now + std::max(wait, kLongest));
  return last_ - now;
}

}  // namespace cartsail
