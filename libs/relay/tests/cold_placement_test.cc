// Cold back ends and coordinators: who grants, and what happens when the coordinator is lost,
// frozen or replaced with grants out.
#include "support/placement_network.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int kNodes = 3;
constexpr int kGrants = 5;  // a third of 17.9
constexpr double kMostInOneSecond = 8.6 * 1.5 + 5;
constexpr int kAsked = 12;

// All nodes know one engine, which is cold.
void LeaveOneCold(Network& network) {
  ServiceRule rule;
  rule.name = "llm";
  rule.warm_up = WarmUp{seconds(30), 8.6};
  for (int node = 0; node < kNodes; ++node) {
    Dispatcher& dispatcher = network.Node(node).dispatcher;
    dispatcher.SetWarmUps({rule}, ColdBound());
    Backend cold = *dispatcher.Registry().Find("e0");
    cold.cold_until = Now() + seconds(30);
    dispatcher.Registry().Put(cold);
    for (int i = 1; i < kEngines; ++i) dispatcher.Registry().Remove("e" + std::to_string(i));
  }
}

int Placed(const std::vector<PlacementResult>& results) {
  int placed = 0;
  for (const PlacementResult& result : results) {
    placed += result.placement.has_value() ? 1 : 0;
    cr_assert(result.placement.has_value() != result.metered_wait.has_value());
    cr_assert(!result.placement.has_value() || result.placement->send_by.has_value());
  }
  return placed;
}

std::vector<TestNode*> Times(TestNode& node, int times) {
  return std::vector<TestNode*>(static_cast<size_t>(times), &node);
}

Test(cold_placement, the_coordinator_grants_its_share_to_all_nodes_together) {
  Network network(kNodes);
  LeaveOneCold(network);
  std::vector<TestNode*> asking;
  for (int i = 0; i < kAsked; ++i) asking.push_back(&network.Node(i % kNodes));
  const std::vector<PlacementResult> results = network.ResultsOf(asking, Question());
  cr_assert(Placed(results) == kGrants);
  for (const PlacementResult& result : results) {
    if (!result.metered_wait.has_value()) continue;
    cr_assert(*result.metered_wait > Duration(0) &&
              *result.metered_wait <= seconds(1) + kGrantLifetime);
  }
}

Test(cold_placement, a_grant_that_was_asked_for_holds_from_the_question) {
  Network network(kNodes);
  LeaveOneCold(network);
  const TimePoint begun = Now();
  const PlacementResult result = network.ResultsOf({&network.Other()}, Question())[0];
  cr_assert(!result.placement->placed_by.empty());
  cr_assert(*result.placement->send_by >= begun + kGrantLifetime);
  cr_assert(*result.placement->send_by <= begun + kGrantLifetime + milliseconds(100));
}

// The coordinator falls silent with grants out; the next one takes over; the first one goes on.
Test(cold_placement, a_takeover_keeps_the_bound_with_grants_out) {
  Network network(kNodes);
  LeaveOneCold(network);
  TestNode& first = network.Coordinator();
  TestNode& asker = network.Other();
  int placed = Placed(network.ResultsOf(Times(asker, kAsked), Question()));
  cr_assert(placed == kGrants);

  network.loses = [&first](const TestNode& from, const Datagram&) { return &from == &first; };
  // Nobody has noticed yet: the second in rank grants nothing.
  cr_assert(Placed(network.ResultsOf(Times(asker, kAsked), Question())) == 0);
  for (int node = 0; node < kNodes; ++node) {
    network.Node(node).peers.SetStatus(first.host, PeerStatus::kGone, Now());
  }
  placed += Placed(network.ResultsOf(Times(asker, kAsked), Question()));
  cr_assert(placed == 2 * kGrants);
  // The one that was lost still takes itself for the first, as its caller sees it.
  placed += Placed(network.ResultsOf(Times(first, kAsked), Question()));
  cr_assert(placed <= 3 * kGrants);
  cr_assert(placed <= kMostInOneSecond);
}

Test(cold_placement, a_node_that_is_cut_off_grants_nothing) {
  Network network(kNodes);
  LeaveOneCold(network);
  TestNode& alone = network.Coordinator();
  network.loses = [](const TestNode&, const Datagram&) { return true; };
  for (int node = 0; node < kNodes; ++node) {
    alone.peers.SetStatus(HostOf(node), PeerStatus::kGone, Now());
  }
  const std::vector<PlacementResult> results = network.ResultsOf(Times(alone, 2), Question());
  cr_assert(Placed(results) == 0);
  cr_assert(results[0].metered_wait == milliseconds(500));
}

Test(cold_placement, a_node_that_reaches_nobody_takes_a_warm_one) {
  Network network(kNodes);
  LeaveOneCold(network);
  TestNode& alone = network.Other();
  Backend warm = *alone.dispatcher.Registry().Find("e0");
  warm.id = "warm";
  warm.address = "warm:1";
  warm.cold_until.reset();
  alone.dispatcher.Registry().Put(warm);
  network.loses = [](const TestNode&, const Datagram&) { return true; };
  for (const PlacementResult& result : network.ResultsOf(Times(alone, kAsked), Question())) {
    cr_assert(result.placement->backend.id == "warm");
  }
}

}  // namespace
}  // namespace cartsail
