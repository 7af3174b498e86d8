#include "support/budget_fleet.h"

namespace cartsail::testing {

struct BudgetFleet::Node {
  Node(int number, RetryBudgetOptions options, TimePoint started)
      : peers(StateOf(number), started), budget(options) {}

  PeerTable peers;
  ServiceRetryBudget budget;
  TimePoint frozen_until{};
};

BudgetFleet::BudgetFleet(RetryBudgetOptions options)
    : options_(options), partition_(kPartitionedNodes, 0) {
  for (int i = 0; i < kPartitionedNodes; ++i) {
    nodes_.push_back(std::make_unique<Node>(i, options, kPartitionedAt - seconds(60)));
  }
  for (int i = 0; i < kPartitionedNodes; ++i) Hear(i, kPartitionedAt);
}

BudgetFleet::~BudgetFleet() = default;

void BudgetFleet::Hear(int node, TimePoint now) {
  PeerTable& peers = nodes_[static_cast<size_t>(node)]->peers;
  for (int i = 0; i < kPartitionedNodes; ++i) {
    if (i == node) continue;
    const bool is_reached =
        partition_[static_cast<size_t>(i)] == partition_[static_cast<size_t>(node)];
    if (is_reached) {
      peers.Heard(HostOf(i), StateOf(i), now);
    } else {
      peers.AddHost(HostOf(i), now);
      peers.SetStatus(HostOf(i), PeerStatus::kGone, now);
    }
  }
}

void BudgetFleet::SetPartition(const Partition& partition, TimePoint now) {
  partition_ = partition;
  for (int i = 0; i < kPartitionedNodes; ++i) Hear(i, now);
}

void BudgetFleet::Restart(int node, TimePoint now) {
  nodes_[static_cast<size_t>(node)] = std::make_unique<Node>(node, options_, now);
  Hear(node, now);
}

void BudgetFleet::Freeze(int node, TimePoint until) {
  nodes_[static_cast<size_t>(node)]->frozen_until = until;
}

void BudgetFleet::Tick(TimePoint now) {}

bool BudgetFleet::Runs(int node, TimePoint now) const {
  return now >= nodes_[static_cast<size_t>(node)]->frozen_until;
}

void BudgetFleet::NoteRequest(int node, TimePoint now) {
  nodes_[static_cast<size_t>(node)]->budget.NoteRequest(now);
}

bool BudgetFleet::Repeat(int node, TimePoint now, TimePoint arrives) {
  Node& asked = *nodes_[static_cast<size_t>(node)];
  return asked.budget.TakeRepeat(now, asked.peers.SharingNodes(now));
}

}  // namespace cartsail::testing
