// The retry budget over every change from one partition of the nodes to another, and while the
// store comes and goes.
#include <cstdint>
#include <random>
#include <vector>

#include "support/budget_traffic.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

// Of all changes one of four, so that each partition is the first and the second of some; all of
// them take a minute.
constexpr size_t kOneOf = 4;

Test(retry_budget_partitions, no_change_from_one_partition_to_another_exceeds_it, .timeout = 240) {
  const std::vector<Partition> partitions = AllPartitions();
  for (size_t i = 0; i < partitions.size(); ++i) {
    for (size_t j = i % kOneOf; j < partitions.size(); j += kOneOf) {
      const Partition& before = partitions[i];
      const Partition& after = partitions[j];
      BudgetFleet fleet(BudgetOptions());
      const auto events = [&before, &after](int step, BudgetFleet& changed) {
        if (step == kFailuresBegin) changed.SetPartition(before, TimeOf(step));
        if (step == kChange) changed.SetPartition(after, TimeOf(step));
        // One of them is restarted as it learns of the change.
        if (step == kChange + 10) changed.Restart(step % kPartitionedNodes, TimeOf(step));
      };
      const double over = MostOver(Play(fleet, events));
      cr_assert(over <= 0, "%.1f beyond what is allowed", over);
    }
  }
}

Test(retry_budget_partitions, a_store_that_comes_and_goes_does_not_exceed_it, .timeout = 240) {
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    BudgetFleet fleet(BudgetOptions());
    const auto events = [&random](int step, BudgetFleet& changed) {
      const int node = static_cast<int>(random() % kPartitionedNodes);
      const int later = step + 1 + static_cast<int>(random() % 60);
      switch (random() % 24) {
        case 0:
          changed.TakeStoreAway(TimeOf(later));
          break;
        case 1:
          changed.Restart(node, TimeOf(step));
          break;
        case 2:
          changed.Stop(node, TimeOf(step));
          break;
        case 3:
          changed.Freeze(node, TimeOf(later));
          break;
        default:
          break;
      }
    };
    const double over = MostOver(Play(fleet, events, TwoEach, seed));
    cr_assert(over <= 0, "seed %u: %.1f beyond what is allowed", seed, over);
  }
}

}  // namespace
}  // namespace cartsail::testing
