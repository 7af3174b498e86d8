// A change of the routing document did not reach every node in time.
//
// Symptom: nodes answered 404 for a route 3.0 s and more after the store had acknowledged the
// document that added it; a fleet of 84 nodes.
// Sequence: the readers of the store had the document within 0.02 s. Up to 2 s later the first of
// them sent its digest to all other nodes in one burst. All of them fetched the whole catalog from
// it at the same moment; its link of 10 Mbit/s carried 45 copies in the 0.8 s that a fetch may
// take, and 31 fetches ended without a catalog. Those nodes waited for the digest of another
// node, and all asked that one.
// Cause: an event that everybody waits for travelled as a state that is told now and then, and
// everybody fetched it from one source.
// What settled it: 30 lines `event=catalog_fetch_failed host=10.3.0.40 ms=810 why="no answer in
// time"` within 0.1 s, and 45 lines `event=document_applied source=10.3.0.40` spread over the
// 0.8 s before.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "support/own_hosts.h"
#include "support/spread_fleet.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr int kNodes = 84;
constexpr int kReaders = 8;
// A quarter of the shortest time in which a change has to be in force everywhere.
constexpr Duration kBound = milliseconds(500);

Test(catalog_spread, every_node_has_a_change_in_a_quarter_of_the_time_there_is) {
  testing::SpreadFleet fleet(kNodes);
  fleet.ApplyAtAll(1);
  fleet.RunFor(milliseconds(600));  // nodes hear each other, and the next digests are far away
  constexpr int64_t kVersion = 7;
  for (int reader = 0; reader < kReaders; ++reader) fleet.At(reader).Apply(kVersion);
  const bool everywhere = fleet.RunUntilAllHave(kVersion, kBound);
  cr_assert(everywhere, "%d of %d nodes have the change; one handed over %d copies",
            fleet.NodesWith(kVersion), kNodes, fleet.MostCopiesOfOneNode());
}

// Beside a rolling replacement of back ends every node fetched all of them (9 KB) for each change:
// 14 KB a second and node. Now changes are told; a node that missed some fetches just these.
Test(catalog_spread, a_change_of_a_back_end_is_handed_over_without_the_others) {
  constexpr size_t kMostBytes = 500;
  testing::SpreadFleet fleet(12);
  fleet.RunFor(milliseconds(400));  // they know each other
  const int reader = fleet.FirstReader();
  const int other = (reader + 5) % 12;
  fleet.At(reader).StartReading(10);
  cr_assert(fleet.RunUntilAllKnow(10, seconds(5)));
  const int copies = fleet.Copies();
  fleet.At(reader).PushBackend("new", 11);
  cr_assert(fleet.RunUntilAllKnow(11, milliseconds(200)));
  cr_assert(fleet.At(other).Knows("new"));
  cr_assert(fleet.Copies() == copies, "%d fetches", fleet.Copies() - copies);
  const size_t bytes = fleet.At(reader).CatalogBytesSince(10);
  cr_assert(bytes < kMostBytes, "%zu bytes", bytes);
  fleet.At(reader).PushGone(testing::FleetBackendId(3), 12);
  fleet.At(reader).PushBackend("newer", 13);
  cr_assert(fleet.RunUntilAllKnow(13, seconds(5)));
  for (int node = 0; node < 12; ++node) {
    cr_assert(!fleet.At(node).Knows(testing::FleetBackendId(3)));
    cr_assert(fleet.At(node).Knows("newer") && fleet.At(node).Knows("new"));
    cr_assert(fleet.At(node).Backends() == testing::kFleetBackends + 1);
  }
}

// Engines of a zone that is lost come and go by the hundred within a second: of more than ten
// changes at a time nodes were told the revision only, and all of them fetched the changes.
Test(catalog_spread, some_hundred_changes_at_once_are_told_without_a_fetch) {
  constexpr int kChanges = 200;
  testing::SpreadFleet fleet(12);
  fleet.RunFor(milliseconds(400));  // they know each other
  const int reader = fleet.FirstReader();
  fleet.At(reader).StartReading(10);
  cr_assert(fleet.RunUntilAllKnow(10, seconds(5)));
  const int copies = fleet.Copies();
  for (int i = 1; i <= kChanges; ++i) {
    fleet.At(reader).PushBackend("new-" + std::to_string(i), 10 + i);
  }
  cr_assert(fleet.RunUntilAllKnow(10 + kChanges, milliseconds(500)));
  for (int node = 0; node < 12; ++node) {
    cr_assert(fleet.At(node).Backends() == testing::kFleetBackends + kChanges);
  }
  cr_assert(fleet.Copies() == copies, "%d fetches", fleet.Copies() - copies);
}

// Whoever starts hears its seeds first, and all took the catalog from these: when 300 nodes were
// restarted, the seeds sent three times as much as any other node.
Test(catalog_spread, nodes_that_start_do_not_all_ask_their_seed) {
  constexpr int kSettled = 4;
  constexpr int kStarting = 8;
  boost::asio::io_context io;
  const std::string seed = testing::OwnHost(1);
  std::vector<std::unique_ptr<testing::FleetNode>> nodes;
  const auto start = [&io, &nodes, &seed] {
    const std::string host = testing::OwnHost(static_cast<int>(nodes.size()) + 1);
    nodes.push_back(std::make_unique<testing::FleetNode>(io, host, std::vector<std::string>{seed}));
  };
  for (int i = 0; i < kSettled; ++i) start();
  for (const auto& node : nodes) node->Apply(1);
  io.run_for(milliseconds(3200));  // such nodes count as those that have the catalog
  const int copies = nodes[0]->Copies();
  for (int i = 0; i < kStarting; ++i) start();
  io.restart();
  io.run_for(milliseconds(600));
  for (const auto& node : nodes) cr_assert(node->Revision() == 1);
  const int of_seed = nodes[0]->Copies() - copies;
  cr_assert(of_seed < kStarting, "the seed handed over %d of %d", of_seed, kStarting);
}

}  // namespace
}  // namespace cartsail
