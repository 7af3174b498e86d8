// Tells when the holder of the lease on the extra retries may grant them. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "cartsail/base/clock.h"
#include "cartsail/retries/retry_budget.h"

namespace cartsail {

class ExtraBudgetLease {
 public:
  explicit ExtraBudgetLease(const RetryBudgetOptions& options)
      : wait_(ExtraHandoverDelay(options)) {}

  // `token`: the lease's token; nullopt if this node does not hold the lease. Call before each
  // Holds(), and at least once per lease duration.
  void Note(std::optional<int64_t> token, TimePoint now);

  // True if this node holds the lease, as of the last Note(), and the retries that a previous
  // holder granted no longer count.
  bool Holds(TimePoint now) const { return token_.has_value() && now >= from_; }

 private:
  Duration wait_;
  std::optional<int64_t> token_;
  TimePoint from_{};
};

}  // namespace cartsail
