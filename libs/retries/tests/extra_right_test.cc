#include "cartsail/retries/extra_budget_lease.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

Test(extra_right, a_new_holder_waits_until_the_previous_holders_retries_expire) {
  const RetryBudgetOptions options;
  ExtraBudgetLease lease(options);
  lease.Note(std::nullopt, kStart);
  cr_assert(!lease.Holds(kStart + seconds(60)));
  lease.Note(7, kStart);
  cr_assert(!lease.Holds(kStart + options.window));
  cr_assert(lease.Holds(kStart + ExtraHandoverDelay(options)));
}

Test(extra_right, a_lease_that_was_lost_and_won_again_is_a_new_one) {
  const RetryBudgetOptions options;
  ExtraBudgetLease lease(options);
  lease.Note(7, kStart);
  const TimePoint later = kStart + seconds(30);
  cr_assert(lease.Holds(later));
  lease.Note(std::nullopt, later);
  cr_assert(!lease.Holds(later));
  lease.Note(9, later);
  cr_assert(!lease.Holds(later + options.window));
}

}  // namespace
}  // namespace cartsail
