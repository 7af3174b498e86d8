// When the holder of the lease on the extra repeats may give them out. Pure.
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

  // The lease's token while this node holds it; to be told whenever it is asked for, and at least
  // once a lease.
  void Note(std::optional<int64_t> token, TimePoint now);

  // Another holder's repeats no longer count. Holds for the moment of the last Note().
  bool Holds(TimePoint now) const { return token_.has_value() && now >= from_; }

 private:
  Duration wait_;
  std::optional<int64_t> token_;
  TimePoint from_{};
};

}  // namespace cartsail
