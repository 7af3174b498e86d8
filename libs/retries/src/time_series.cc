#include "cartsail/retries/time_series.h"

#include <algorithm>

namespace cartsail {

void TimeSeries::Add(TimePoint time) {
  times_.insert(std::upper_bound(times_.begin(), times_.end(), time), time);
}

void TimeSeries::Forget(TimePoint time) {
  while (!times_.empty() && times_.front() <= time) times_.pop_front();
}

int64_t TimeSeries::After(TimePoint time) const {
  return times_.end() - std::upper_bound(times_.begin(), times_.end(), time);
}

}  // namespace cartsail
