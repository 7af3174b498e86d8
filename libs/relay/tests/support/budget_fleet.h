// Nodes that share a retry budget, each with its own view of the others, on a time of the test's
// own.
#pragma once

#include <memory>
#include <vector>

#include "cartsail/dispatch/retry_budget.h"
#include "support/fleet_partitions.h"

namespace cartsail::testing {

class BudgetFleet {
 public:
  // kPartitionedNodes nodes that have been up for long, all in one part.
  explicit BudgetFleet(RetryBudgetOptions options);
  ~BudgetFleet();

  // From now on nodes reach those of their part only.
  void SetPartition(const Partition& partition, TimePoint now);

  // The process ends and another one starts in its place.
  void Restart(int node, TimePoint now);

  // The process stands still until then.
  void Freeze(int node, TimePoint until);

  // To be called at every step of the test's time.
  void Tick(TimePoint now);

  // False while the process stands still.
  bool Runs(int node, TimePoint now) const;

  void NoteRequest(int node, TimePoint now);

  // Whether the node sends a repeat now, which reaches a back end at `arrives`.
  bool Repeat(int node, TimePoint now, TimePoint arrives);

 private:
  struct Node;

  void Hear(int node, TimePoint now);

  RetryBudgetOptions options_;
  Partition partition_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace cartsail::testing
