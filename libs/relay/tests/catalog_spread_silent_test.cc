// A node that does not answer while others miss changes of the catalog.
#include "support/spread_fleet.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

// The node learns `revision` from elsewhere and then the next one from the store, which it tells
// the others: they lack the first one and fetch it.
void TellOfGap(testing::FleetNode& node, int64_t revision) {
  node.ApplyBackends(revision);
  node.StartReading(revision);
  node.PushBackend("new", revision + 1);
}

// A fetch that hangs must not keep a node from asking another one: the time of a fetch (0.8 s) and
// the pause after it would pass before.
Test(catalog_spread, a_node_that_does_not_answer_is_passed_by) {
  constexpr int kSilent = 0;
  constexpr int kGood = 1;
  constexpr int kAsking = 2;
  testing::SpreadFleet fleet(3);
  fleet.ApplyAtAll(1);
  fleet.RunFor(milliseconds(400));  // they know each other
  fleet.At(kSilent).FallSilent();
  TellOfGap(fleet.At(kSilent), 2);
  fleet.RunFor(milliseconds(250));
  cr_assert(fleet.At(kSilent).Copies() == 2, "both others ask it");
  TellOfGap(fleet.At(kGood), 4);
  fleet.RunFor(milliseconds(300));
  cr_assert(fleet.At(kAsking).Revision() == 5);
}

// Guards against ignoring an update while a fetch for an earlier one is scheduled at a node that
// does not answer: the node kept asking that one, and got the changes by gossip only, up to 0.6 s
// later. Gossip is in time in about half of the rounds.
Test(catalog_spread, while_a_silent_node_is_asked_the_next_that_tells_is_asked) {
  constexpr int kSilent = 0;
  constexpr int kGood = 1;
  constexpr int kAsking = 2;
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    testing::SpreadFleet fleet(3);
    fleet.ApplyAtAll(1);
    fleet.RunFor(milliseconds(400));  // they know each other
    fleet.At(kSilent).FallSilent();
    TellOfGap(fleet.At(kSilent), 2);
    cr_assert(fleet.RunUntilCopies(kSilent, 2, seconds(10)), "both others ask it");
    // No node is asked twice at once: the fetch for this one waits.
    fleet.At(kSilent).PushBackend("another", 4);
    fleet.RunFor(milliseconds(200));
    TellOfGap(fleet.At(kGood), 5);
    fleet.RunFor(milliseconds(200));
    cr_assert(fleet.At(kAsking).Revision() == 6, "round %d", round);
  }
}

}  // namespace
}  // namespace cartsail
