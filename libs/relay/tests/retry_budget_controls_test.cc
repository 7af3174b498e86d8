// Each way of dividing a retry budget that the nodes do not take goes over it.
#include "support/budget_traffic.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

double MostOverWith(BudgetRule rule, const BudgetEvents& events) {
  BudgetFleet fleet(BudgetOptions(), rule);
  return MostOver(Play(fleet, events));
}

// The lease on the extra passes from node to node.
void StopInTurn(int step, BudgetFleet& fleet) {
  const int since = step - kChange;
  if (since >= 0 && since % 10 == 0) fleet.Stop(since / 10 % kPartitionedNodes, TimeOf(step));
}

void StopAll(int step, BudgetFleet& fleet) {
  if (step != kChange) return;
  for (int node = 0; node < kPartitionedNodes; ++node) fleet.Stop(node, TimeOf(step));
}

void PartInTwo(int step, BudgetFleet& fleet) {
  if (step == kChange) fleet.SetPartition({0, 0, 0, 1, 1}, TimeOf(step));
}

Test(retry_budget_controls, the_way_that_is_taken_keeps_the_bound) {
  for (const auto& events : {NoEvents, StopInTurn, StopAll, PartInTwo}) {
    cr_assert(MostOverWith(BudgetRule::kAsBuilt, events) <= 0);
  }
}

Test(retry_budget_controls, shares_of_the_extra_by_the_nodes_heard_go_over_it) {
  cr_assert(MostOverWith(BudgetRule::kExtraByNodesHeard, PartInTwo) > 0);
}

Test(retry_budget_controls, a_holder_that_does_not_wait_for_the_one_before_goes_over_it) {
  cr_assert(MostOverWith(BudgetRule::kForgottenWindow, StopAll) > 0);
}

Test(retry_budget_controls, windows_of_whole_seconds_go_over_it) {
  cr_assert(MostOverWith(BudgetRule::kWholeSeconds, NoEvents) > 0);
}

Test(retry_budget_controls, loans_that_their_lenders_do_not_count_go_over_it) {
  cr_assert(MostOverWith(BudgetRule::kLoansNotCounted, NoEvents) > 0);
}

}  // namespace
}  // namespace cartsail::testing
