// Repeats of all nodes together piled up beyond the budget where nodes lost each other, or were
// restarted one after the other.
#include <cstdint>
#include <random>
#include <vector>

#include "support/budget_traffic.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr double kLeastUsable = 0.8;  // of what is allowed
// From the first failure until windows hold nothing of the time before.
constexpr int kSteady = kFailuresBegin + kStepsInWindow + 10;

void CheckBound(const BudgetEvents& events, const char* what, const BudgetLoad& load = TwoEach,
                uint32_t seed = 1) {
  BudgetFleet fleet(BudgetOptions());
  const double over = MostOver(Play(fleet, events, load, seed));
  cr_assert(over <= 0, "%s: %.1f beyond what is allowed", what, over);
}

Test(retry_budget_fleet, nodes_that_lost_each_other_keep_the_bound_together, .timeout = 120) {
  for (const Partition& partition : AllPartitions()) {
    const auto events = [&partition](int step, BudgetFleet& fleet) {
      if (step == kChange) fleet.SetPartition(partition, TimeOf(step));
      if (step == kChange + 140) fleet.SetPartition(Partition(5, 0), TimeOf(step));
    };
    CheckBound(events, "parted");
  }
}

Test(retry_budget_fleet, nodes_restarted_one_after_the_other_keep_it, .timeout = 60) {
  for (const int gap : {5, 10, 40}) {
    const auto events = [gap](int step, BudgetFleet& fleet) {
      const int since = step - kChange;
      if (since >= 0 && since % gap == 0 && since / gap < 2 * kPartitionedNodes) {
        fleet.Restart(since / gap % kPartitionedNodes, TimeOf(step));
      }
    };
    CheckBound(events, "restarted");
  }
}

Test(retry_budget_fleet, parts_whose_nodes_are_restarted_keep_it, .timeout = 120) {
  for (const Partition& partition : AllPartitions()) {
    const auto events = [&partition](int step, BudgetFleet& fleet) {
      if (step == kChange) fleet.SetPartition(partition, TimeOf(step));
      const int since = step - kChange - 40;
      if (since >= 0 && since < 3) fleet.Restart(since, TimeOf(step));
    };
    CheckBound(events, "parted and restarted");
  }
}

Test(retry_budget_fleet, any_series_of_changes_keeps_it, .timeout = 240) {
  const std::vector<Partition> partitions = AllPartitions();
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const auto events = [&partitions, &random](int step, BudgetFleet& fleet) {
      if (step < kFailuresBegin || random() % 8 != 0) return;
      const int node = static_cast<int>(random() % kPartitionedNodes);
      switch (random() % 3) {
        case 0:
          fleet.SetPartition(partitions[random() % partitions.size()], TimeOf(step));
          break;
        case 1:
          fleet.Restart(node, TimeOf(step));
          break;
        default:
          fleet.Freeze(node, TimeOf(step + 1 + static_cast<int>(random() % 120)));
          break;
      }
    };
    const auto load = [seed](int node, int step) {
      const int phase = (step / 30 + node + static_cast<int>(seed)) % 4;
      return phase == 0 ? 4 : phase - 1;
    };
    CheckBound(events, "a series of changes", load, seed);
  }
}

// Requests that come all at once, a window or a part of one apart, and their repeats.
Test(retry_budget_fleet, bursts_keep_it, .timeout = 60) {
  for (const int period : {49, 50, 51, 99, 100, 101, 149}) {
    const auto load = [period](int node, int step) { return step % period == 0 ? 100 : 0; };
    CheckBound(NoEvents, "bursts", load);
  }
}

Test(retry_budget_fleet, most_of_it_is_usable_in_calm, .timeout = 60) {
  BudgetFleet fleet(BudgetOptions());
  const double used = LeastUsed(Play(fleet, NoEvents), kSteady);
  cr_assert(used >= kLeastUsable, "%.3f", used);
}

// Only one node has repeats to make; the others get as many requests as it does.
Test(retry_budget_fleet, most_of_it_is_usable_by_one_node, .timeout = 60) {
  BudgetFleet fleet(BudgetOptions());
  BudgetTraffic traffic;
  for (int step = 0; step < kRunSteps; ++step) {
    const TimePoint now = TimeOf(step);
    fleet.Tick(now);
    for (int node = 0; node < kPartitionedNodes; ++node) {
      for (int i = 0; i < 2; ++i) fleet.NoteRequest(node, now);
      traffic.requests[static_cast<size_t>(step)] += 2;
    }
    if (step < kFailuresBegin) continue;
    for (int i = 0; i < 10; ++i) {
      if (fleet.Repeat(0, now, now)) ++traffic.repeats[static_cast<size_t>(step)];
    }
  }
  cr_assert(MostOver(traffic) <= 0, "%.1f", MostOver(traffic));
  const double used = LeastUsed(traffic, kSteady);
  cr_assert(used >= kLeastUsable, "%.3f", used);
}

}  // namespace
}  // namespace cartsail::testing
