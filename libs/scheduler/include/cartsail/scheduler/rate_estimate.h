// An event rate that forgets exponentially, so that it also falls while no event comes.
#pragma once

#include <cmath>

#include "cartsail/base/clock.h"

namespace cartsail {

class RateEstimate {
 public:
  static constexpr double kTimeConstantSeconds = 5;

  void Add(TimePoint now, double amount = 1) {
    weight_ = Decayed(now) + amount;
    time_ = now;
    if (first_ == TimePoint()) first_ = now;
  }

  // Events per second.
  double PerSecond(TimePoint now) const {
    if (first_ == TimePoint()) return 0;
    // Before a full time constant of history the divisor is the part that was seen.
    const double seen = ToSeconds(now - first_);
    const double span = kTimeConstantSeconds * (1 - std::exp(-seen / kTimeConstantSeconds));
    return Decayed(now) / std::max(span, kShortestSpanSeconds);
  }

 private:
  static constexpr double kShortestSpanSeconds = 0.5;

  double Decayed(TimePoint now) const {
    return weight_ * std::exp(-ToSeconds(now - time_) / kTimeConstantSeconds);
  }

  double weight_ = 0;
  TimePoint time_{};
  TimePoint first_{};
};

}  // namespace cartsail
