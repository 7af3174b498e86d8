// When callers that are refused for lack of room are to come back: one after the other, as room
// comes about. Told the time of the next grant alone, all that are refused meanwhile would come
// back for that one. Pure.
#pragma once

#include "cartsail/base/clock.h"

namespace cartsail {

class RetrySchedule {
 public:
  // No caller is told more: by then back ends may take any rate again.
  static constexpr Duration kLongest = seconds(10);

  // The time until the next refused caller is to come back, where room for the next request comes
  // about in `wait` and for `per_s` requests a second from then on.
  Duration Next(Duration wait, double per_s, TimePoint now);

 private:
  TimePoint last_{};  // when the one refused last is to come back
};

}  // namespace cartsail
