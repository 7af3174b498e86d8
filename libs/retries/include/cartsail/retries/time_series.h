// Sorted timestamps, optimized for access to the latest ones. Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>

#include "cartsail/base/clock.h"

namespace cartsail {

class TimeSeries {
 public:
  // Cheap if few timestamps are later than `time`.
  void Add(TimePoint time);

  // Drops the timestamps up to and including `time`.
  void Forget(TimePoint time);

  // Number of timestamps later than `time`.
  int64_t After(TimePoint time) const;

 private:
  std::deque<TimePoint> times_;
};

}  // namespace cartsail
