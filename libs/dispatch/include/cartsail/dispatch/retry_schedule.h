// Schedules the retries of callers that are refused for lack of capacity, one after the other as
// capacity becomes available. If all callers were told the time of the next grant, all of them
// would return for that one grant. Performs no I/O.
#pragma once

#include "cartsail/base/clock.h"

namespace cartsail {

class RetrySchedule {
 public:
  // Longest delay that a caller is given, unless the wait itself is longer: by then back ends may
  // accept any rate again.
  static constexpr Duration kLongest = seconds(10);

  // Delay until the next refused caller is to retry. Capacity for the next request becomes
  // available in `wait`, and for `per_s` requests a second from then on.
  Duration Next(Duration wait, double per_s, TimePoint now);

 private:
  TimePoint last_{};  // when the caller refused last is to retry
};

}  // namespace cartsail
