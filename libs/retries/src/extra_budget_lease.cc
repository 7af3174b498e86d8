#include "cartsail/retries/extra_budget_lease.h"

namespace cartsail {

void ExtraBudgetLease::Note(std::optional<int64_t> token, TimePoint now) {
  if (token == token_) return;
  token_ = token;
  from_ = now + wait_;
}

}  // namespace cartsail
