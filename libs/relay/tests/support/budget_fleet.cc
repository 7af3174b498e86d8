#include "support/budget_fleet.h"

#include "cartsail/duties/holder_lease.h"
#include "cartsail/retries/extra_budget_lease.h"
#include "retries/retry_service.h"

namespace cartsail::testing {
namespace {

RetryBudgetOptions OptionsOf(RetryBudgetOptions options, BudgetRule rule) {
  if (rule == BudgetRule::kWholeSeconds) options.window = options.window * 9 / 10;
  return options;
}

}  // namespace

struct BudgetFleet::Node {
  Node(const RetryBudgetOptions& options, TimePoint started)
      : budget(std::make_shared<ServiceRetryBudget>(options)),
        lease(kRetryExtraLease, started),
        right(options) {}

  std::shared_ptr<ServiceRetryBudget> budget;
  HolderLease lease;
  ExtraBudgetLease right;
  TimePoint frozen_until{};
};

BudgetFleet::BudgetFleet(RetryBudgetOptions options, BudgetRule rule)
    : options_(OptionsOf(options, rule)), rule_(rule), partition_(kPartitionedNodes, 0) {
  for (int i = 0; i < kPartitionedNodes; ++i) {
    nodes_.push_back(std::make_unique<Node>(options_, kPartitionedAt - seconds(60)));
  }
}

BudgetFleet::~BudgetFleet() = default;

bool BudgetFleet::IsReached(int from, int to) const {
  return partition_[static_cast<size_t>(from)] == partition_[static_cast<size_t>(to)];
}

void BudgetFleet::SetPartition(const Partition& partition, TimePoint now) {
  partition_ = partition;
}

void BudgetFleet::Restart(int node, TimePoint now) {
  nodes_[static_cast<size_t>(node)] = std::make_unique<Node>(options_, now);
}

void BudgetFleet::Stop(int node, TimePoint now) {
  if (record_.holder == node && now >= store_away_until_) record_.holder = -1;
  Restart(node, now);
}

void BudgetFleet::Freeze(int node, TimePoint until) {
  nodes_[static_cast<size_t>(node)]->frozen_until = until;
}

bool BudgetFleet::Runs(int node, TimePoint now) const {
  return now >= nodes_[static_cast<size_t>(node)]->frozen_until;
}

// Any node takes the record when it is free.
void BudgetFleet::KeepLease(int node, TimePoint now) {
  if (now < store_away_until_) return;
  HolderLease& lease = nodes_[static_cast<size_t>(node)]->lease;
  const bool is_free = record_.holder < 0 || now >= record_.expires;
  if (is_free) {
    record_ = {node, now + kRetryExtraLease.lease, record_.token + 1};
    lease.OnAcquired(record_.token, now);
  } else if (record_.holder == node && lease.Token(now) == record_.token) {
    record_.expires = now + kRetryExtraLease.lease;
    lease.OnRenewed(now);
  }
}

void BudgetFleet::Tick(TimePoint now) {
  for (int i = 0; i < kPartitionedNodes; ++i) {
    if (!Runs(i, now)) continue;
    KeepLease(i, now);
    (void)ExtraPart(i, now);
  }
  // A process that stands still notices an arrival later.
  std::erase_if(sent_, [this, now](const Sent& sent) {
    if (now < sent.arrives || !Runs(sent.node, now)) return false;
    sent.budget->Close(sent.grant, now);
    return true;
  });
}

void BudgetFleet::NoteRequest(int node, TimePoint now) {
  nodes_[static_cast<size_t>(node)]->budget->NoteRequest(now);
}

double BudgetFleet::ExtraPart(int node, TimePoint now) {
  if (rule_ == BudgetRule::kExtraByNodesHeard) {
    int heard = 0;
    for (int i = 0; i < kPartitionedNodes; ++i) heard += IsReached(node, i) ? 1 : 0;
    return 1.0 / heard;
  }
  Node& asked = *nodes_[static_cast<size_t>(node)];
  const std::optional<FencingToken> token = asked.lease.Token(now);
  if (rule_ == BudgetRule::kForgottenWindow) return token.has_value() ? 1 : 0;
  asked.right.Note(token, now);
  return asked.right.Holds(now) ? 1 : 0;
}

std::optional<RetryGrant> BudgetFleet::Borrow(int node, TimePoint now) {
  for (int i = 0; i < kPartitionedNodes; ++i) {
    if (i == node || !IsReached(node, i) || !Runs(i, now)) continue;
    ServiceRetryBudget& lender = *nodes_[static_cast<size_t>(i)]->budget;
    const double part = ExtraPart(i, now);
    const bool lends =
        rule_ == BudgetRule::kLoansNotCounted
            ? lender.RemainingRequestBudget(now) >= 1 || lender.RemainingExtraBudget(now, part) >= 1
            : lender.Lend(now, part);
    if (lends) return nodes_[static_cast<size_t>(node)]->budget->TakeLoan(now);
  }
  return std::nullopt;
}

bool BudgetFleet::Repeat(int node, TimePoint now, TimePoint arrives) {
  const std::shared_ptr<ServiceRetryBudget>& budget = nodes_[static_cast<size_t>(node)]->budget;
  std::optional<RetryGrant> grant = budget->Take(now, ExtraPart(node, now));
  if (!grant.has_value()) grant = Borrow(node, now);
  if (!grant.has_value()) return false;
  sent_.push_back({node, budget, *grant, arrives});
  return true;
}

}  // namespace cartsail::testing
