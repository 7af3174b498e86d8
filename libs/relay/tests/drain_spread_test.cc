// How a zone's drain reaches all nodes of a fleet.
#include "cartsail/relay/relay_options.h"
#include "support/spread_fleet.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int kNodes = 24;
// Three fifths of the deadline.
Duration WellWithinDeadline() { return RelayOptions().zone_drain_deadline * 3 / 5; }

int NodesDraining(testing::SpreadFleet& fleet, const std::string& zone) {
  int draining = 0;
  for (int node = 0; node < kNodes; ++node) draining += fleet.At(node).IsDrained(zone) ? 1 : 0;
  return draining;
}

Test(drain_spread, a_readers_word_reaches_every_node_without_a_fetch) {
  constexpr Duration kOneTrip = milliseconds(200);
  testing::SpreadFleet fleet(kNodes);
  fleet.RunFor(milliseconds(400));  // they know each other
  const int reader = fleet.FirstReader();
  fleet.At(reader).StartReading(10);
  cr_assert(fleet.RunUntilAllKnow(10, seconds(5)));
  const int copies = fleet.Copies();
  fleet.At(reader).PushDrain("hall-a", 11);
  cr_assert(fleet.RunUntilAllKnow(11, kOneTrip));
  cr_assert(NodesDraining(fleet, "hall-a") == kNodes && NodesDraining(fleet, "hall-b") == 0);
  fleet.At(reader).PushRestore("hall-a", 12);
  cr_assert(fleet.RunUntilAllKnow(12, seconds(1)));
  cr_assert(NodesDraining(fleet, "hall-a") == 0);
  cr_assert(fleet.Copies() == copies, "%d fetches", fleet.Copies() - copies);
}

// No message of the change arrives anywhere: nodes hear in their gossip that another one knows
// more.
Test(drain_spread, with_every_message_lost_all_nodes_have_it_well_within_the_deadline) {
  testing::SpreadFleet fleet(kNodes);
  fleet.ApplyAtAll(1);
  fleet.RunFor(milliseconds(400));
  fleet.At(0).ApplyDrain("hall-a", 2);
  cr_assert(fleet.RunUntilAllKnow(2, WellWithinDeadline()), "%d of %d",
            NodesDraining(fleet, "hall-a"), kNodes);
  cr_assert(NodesDraining(fleet, "hall-a") == kNodes);
}

// The node that knows it is asked for it in vain; others got it from elsewhere and hand it on.
Test(drain_spread, a_node_that_knows_and_does_not_answer_holds_up_nobody) {
  testing::SpreadFleet fleet(kNodes);
  fleet.ApplyAtAll(1);
  fleet.RunFor(milliseconds(400));
  fleet.At(0).FallSilent();
  fleet.At(0).ApplyDrain("hall-a", 2);
  fleet.At(1).ApplyDrain("hall-a", 2);
  cr_assert(fleet.RunUntilAllKnow(2, WellWithinDeadline()), "%d of %d",
            NodesDraining(fleet, "hall-a"), kNodes);
}

}  // namespace
}  // namespace cartsail
