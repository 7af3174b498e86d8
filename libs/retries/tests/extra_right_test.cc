#include "cartsail/retries/extra_budget_lease.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

Test(extra_right, a_new_holder_waits_until_those_of_the_one_before_count_no_more) {
  const RetryBudgetOptions options;
  ExtraBudgetLease right(options);
  right.Note(std::nullopt, kStart);
  cr_assert(!right.Holds(kStart + seconds(60)));
  right.Note(7, kStart);
  cr_assert(!right.Holds(kStart + options.window));
  cr_assert(right.Holds(kStart + ExtraHandoverDelay(options)));
}

Test(extra_right, a_lease_that_was_lost_and_won_again_is_a_new_one) {
  const RetryBudgetOptions options;
  ExtraBudgetLease right(options);
  right.Note(7, kStart);
  const TimePoint later = kStart + seconds(30);
  cr_assert(right.Holds(later));
  right.Note(std::nullopt, later);
  cr_assert(!right.Holds(later));
  right.Note(9, later);
  cr_assert(!right.Holds(later + options.window));
}

}  // namespace
}  // namespace cartsail
