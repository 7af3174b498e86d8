// Nodes that share a retry budget, with the store that names the holder of the extra, on a time of
// the test's own.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cartsail/retries/retry_budget.h"
#include "support/fleet_partitions.h"

namespace cartsail::testing {

// How the nodes decide. All but the first are there to be seen breaking the bound.
enum class BudgetRule {
  kAsBuilt,
  kExtraByNodesHeard,  // each node takes its share of the extra among those that it hears
  kForgottenWindow,    // a new holder of the extra does not wait for what the last one gave out
  kWholeSeconds,       // a window of ten whole seconds covers nine
  kLoansNotCounted,    // by their lenders
};

class BudgetFleet {
 public:
  // kPartitionedNodes nodes that have been up for long, all in one part.
  explicit BudgetFleet(RetryBudgetOptions options, BudgetRule rule = BudgetRule::kAsBuilt);
  ~BudgetFleet();

  // From now on nodes reach those of their part only. All reach the store.
  void SetPartition(const Partition& partition, TimePoint now);

  // The process ends and another one starts in its place.
  void Restart(int node, TimePoint now);

  // The same, and the process gives the lease on the extra up before it ends.
  void Stop(int node, TimePoint now);

  // The process stands still until then.
  void Freeze(int node, TimePoint until);

  // The store answers nobody until then.
  void TakeStoreAway(TimePoint until) { store_away_until_ = until; }

  // To be called at every step of the test's time.
  void Tick(TimePoint now);

  // False while the process stands still.
  bool Runs(int node, TimePoint now) const;

  void NoteRequest(int node, TimePoint now);

  // Whether the node sends a repeat now, which reaches a back end at `arrives`.
  bool Repeat(int node, TimePoint now, TimePoint arrives);

 private:
  struct Node;

  // On its way to a back end.
  struct Sent {
    int node = 0;
    std::shared_ptr<ServiceRetryBudget> budget;
    RetryGrant grant;
    TimePoint arrives;
  };

  // The record in the store that names the holder of the extra.
  struct Record {
    int holder = -1;
    TimePoint expires{};
    int64_t token = 0;
  };

  bool IsReached(int from, int to) const;
  void KeepLease(int node, TimePoint now);
  double ExtraPart(int node, TimePoint now);
  std::optional<RetryGrant> Borrow(int node, TimePoint now);

  RetryBudgetOptions options_;
  BudgetRule rule_;
  Partition partition_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Sent> sent_;
  Record record_;
  TimePoint store_away_until_{};
};

}  // namespace cartsail::testing
