// How a node learns that a zone is drained and restored, while the store and its peers tell of it
// in any order and some of them fail.
#include <algorithm>

#include "support/catalog_node.h"
#include "support/log_capture.h"
#include "support/run_until.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::CatalogOf;
using testing::DocumentText;
using testing::GoneAt;
using testing::ItemOf;
using testing::kCallTime;
using testing::ListOf;
using testing::WrittenAt;
using Node = testing::CatalogNode;

constexpr Duration kEventTime = milliseconds(400);  // until pushed events are applied
constexpr char kUnreadable[] = "\xff\xfe bytes";    // as kUnreadableEntry begins

// The store's items as of `revision`: a document and back ends "a" and "b".
RangeResult PlainList(int64_t revision) {
  return ListOf(revision, {ItemOf("document", DocumentText(3), 4), ItemOf("backends/a", "s", 5),
                           ItemOf("backends/b", "s", 6)});
}

RangeResult ListWithDrain(int64_t revision, const std::string& zone) {
  RangeResult list = PlainList(revision);
  list.kvs.push_back(ItemOf("drains/" + zone, "", revision));
  return list;
}

void StartReading(Node& node, RangeResult list) {
  node.store.SetList(std::move(list));
  node.catalog.Start();
  node.RunFor(2 * kCallTime);
}

CatalogMessage CatalogWithDrain(int64_t revision, std::vector<std::string> zones) {
  CatalogMessage catalog = CatalogOf(revision, 1, "b");
  catalog.drained_zones = std::move(zones);
  return catalog;
}

StoreUpdate UpdateWithDrain(int64_t since, int64_t revision, std::vector<std::string> zones) {
  StoreUpdate update;
  update.changes.since = since;
  update.changes.revision = revision;
  update.changes.drained_zones = std::move(zones);
  update.document_version = 1;
  return update;
}

// The catalog that `from` hands to a node that asks with what it knows.
CatalogMessage Handed(Node& from, const Node& to) {
  HttpRequest request;
  request.target = "/?have=" + std::to_string(to.context.routing.Version()) +
                   "&since=" + std::to_string(to.catalog.Revision());
  return *DecodeCatalog(from.catalog.AnswerPeer(request), Now());
}

Test(catalog_drains, the_store_tells_by_an_event_and_takes_it_back_by_one) {
  Node node;
  StartReading(node, PlainList(10));
  node.store.Push(WrittenAt("drains/z1", "", 11));
  node.RunFor(kEventTime);
  cr_assert(node.IsDrained("z1") && !node.IsDrained("z2") && node.catalog.Revision() == 11);
  node.store.Push(GoneAt("drains/z1", 12));
  node.RunFor(kEventTime);
  cr_assert(!node.IsDrained("z1") && node.catalog.Revision() == 12);
}

Test(catalog_drains, the_store_tells_by_a_list_and_takes_it_back_by_one) {
  Node node;
  StartReading(node, ListWithDrain(10, "z1"));
  cr_assert(node.IsDrained("z1"));
  node.store.SetList(PlainList(20));
  node.store.LoseHistory();
  node.RunFor(kEventTime);
  cr_assert(node.store.Lists() == 2 && !node.IsDrained("z1"));
}

Test(catalog_drains, a_drain_in_a_history_that_was_compacted_comes_with_the_next_list) {
  Node node;
  StartReading(node, PlainList(10));
  node.store.Push(WrittenAt("drains/z1", "", 11));
  node.store.SetList(ListWithDrain(30, "z1"));
  node.store.LoseHistory();
  node.RunFor(kEventTime);
  cr_assert(node.IsDrained("z1") && node.catalog.Revision() == 30);
}

Test(catalog_drains, a_peers_catalog_tells_and_takes_back) {
  Node node;
  node.catalog.ApplyCatalog(CatalogWithDrain(5, {"z1", "z2"}), "peer");
  cr_assert(node.IsDrained("z1") && node.IsDrained("z2"));
  CatalogMessage changes = CatalogWithDrain(6, {"z2"});
  changes.since = 5;
  changes.backends.clear();
  node.catalog.ApplyCatalog(changes, "peer");
  cr_assert(!node.IsDrained("z1") && node.IsDrained("z2"));
}

Test(catalog_drains, a_readers_update_tells_and_takes_back) {
  Node node;
  node.catalog.ApplyCatalog(CatalogWithDrain(5, {}), "peer");
  cr_assert(node.catalog.ApplyUpdate(UpdateWithDrain(5, 6, {"z1"}), "reader"));
  cr_assert(node.IsDrained("z1"));
  cr_assert(node.catalog.ApplyUpdate(UpdateWithDrain(6, 7, {}), "reader"));
  cr_assert(!node.IsDrained("z1"));
}

Test(catalog_drains, what_is_older_brings_no_drain_back) {
  Node node;
  node.catalog.ApplyCatalog(CatalogWithDrain(5, {"z1"}), "peer");
  node.catalog.ApplyUpdate(UpdateWithDrain(5, 8, {}), "reader");
  node.catalog.ApplyCatalog(CatalogWithDrain(7, {"z1"}), "slow peer");
  node.catalog.ApplyUpdate(UpdateWithDrain(4, 6, {"z1"}), "slow reader");
  node.catalog.ApplyUpdate(UpdateWithDrain(4, 8, {"z1"}), "slow reader");
  cr_assert(!node.IsDrained("z1") && node.catalog.Revision() == 8);
}

Test(catalog_drains, what_is_older_loses_no_drain) {
  Node node;
  node.catalog.ApplyCatalog(CatalogWithDrain(5, {}), "peer");
  node.catalog.ApplyUpdate(UpdateWithDrain(5, 8, {"z1"}), "reader");
  node.catalog.ApplyCatalog(CatalogWithDrain(7, {}), "slow peer");
  node.catalog.ApplyUpdate(UpdateWithDrain(5, 6, {}), "slow reader");
  cr_assert(node.IsDrained("z1") && node.catalog.Revision() == 8);
}

Test(catalog_drains, an_older_list_of_the_store_loses_no_drain) {
  Node node;
  node.store.SetList(PlainList(10));
  node.catalog.Start();
  node.RunFor(kCallTime / 2);
  node.catalog.ApplyCatalog(CatalogWithDrain(12, {"z1"}), "peer");
  node.RunFor(kCallTime);
  cr_assert(node.store.Lists() == 1 && node.IsDrained("z1"));
}

// A node that starts may list the store as it was some seconds ago.
Test(catalog_drains, events_after_a_stale_first_list_count_and_those_before_do_not) {
  Node node;
  node.context.peers.AddHost("10.0.0.1", Now());
  StartReading(node, ListWithDrain(10, "z1"));
  node.RunFor(seconds(1));
  cr_assert(node.store.StaleLists() == 1 && node.IsDrained("z1"));
  node.catalog.ApplyUpdate(UpdateWithDrain(9, 9, {}), "reader");
  cr_assert(node.IsDrained("z1"));
  node.store.Push(GoneAt("drains/z1", 10));  // what the list has in
  node.store.Push(WrittenAt("drains/z2", "", 11));
  node.RunFor(seconds(4));  // nobody else is found: it watches by itself
  cr_assert(node.IsDrained("z1") && node.IsDrained("z2") && node.catalog.Revision() == 11);
}

Test(catalog_drains, a_drain_and_a_document_in_one_batch_are_both_in_force_and_both_told) {
  for (const bool document_first : {true, false}) {
    Node node;
    StartReading(node, PlainList(10));
    std::vector<StoreUpdate> told;
    node.catalog.SetOnUpdate([&told](StoreUpdate update) { told.push_back(std::move(update)); });
    WatchEvent document = WrittenAt("document", DocumentText(9), document_first ? 11 : 12);
    WatchEvent drain = WrittenAt("drains/z1", "", document_first ? 12 : 11);
    node.store.Push(document_first ? document : drain);
    node.store.Push(document_first ? drain : document);
    node.RunFor(kEventTime);
    cr_assert(node.context.routing.Version() == 9 && node.IsDrained("z1"));
    const auto names_both = [](const StoreUpdate& update) {
      return update.document_version == 9 && update.changes.revision == 12 &&
             update.changes.drained_zones == std::vector<std::string>{"z1"};
    };
    cr_assert(std::count_if(told.begin(), told.end(), names_both) == 1);
  }
}

Test(catalog_drains, a_reader_that_ends_before_it_tells_leaves_it_to_another_reader) {
  Node other;
  Node node;
  StartReading(other, PlainList(10));
  node.catalog.ApplyCatalog(CatalogWithDrain(10, {}), "first reader");
  std::vector<StoreUpdate> told;
  other.catalog.SetOnUpdate([&told](StoreUpdate update) { told.push_back(std::move(update)); });
  other.store.Push(WrittenAt("drains/z1", "", 11));
  other.RunFor(kEventTime);
  cr_assert(!told.empty());
  node.catalog.ApplyUpdate(told.front(), "other reader");
  cr_assert(node.IsDrained("z1"));
}

Test(catalog_drains, a_node_that_missed_every_message_fetches_it) {
  Node reader;
  Node node;
  StartReading(reader, PlainList(10));
  node.catalog.ApplyCatalog(Handed(reader, node), "reader");
  reader.store.Push(WrittenAt("drains/z1", "", 11));
  reader.RunFor(kEventTime);
  reader.store.Push(WrittenAt("backends/c", "s", 12));
  reader.RunFor(kEventTime);
  const CatalogMessage changes = Handed(reader, node);
  cr_assert(changes.since == 10 && changes.backends.size() == 1, "not the whole catalog");
  node.catalog.ApplyCatalog(changes, "reader");
  cr_assert(node.IsDrained("z1") && node.Knows("c"));
}

// A node kept the catalog that it had encoded for nodes that start, and did not renew it when an
// update brought a drain and no change of a back end.
Test(catalog_drains, a_node_that_starts_is_handed_what_an_update_has_just_brought) {
  Node node;
  node.catalog.ApplyCatalog(CatalogWithDrain(5, {}), "peer");
  Node first;
  cr_assert(Handed(node, first).drained_zones.empty());
  node.catalog.ApplyUpdate(UpdateWithDrain(5, 6, {"z1"}), "reader");
  Node second;
  const CatalogMessage handed = Handed(node, second);
  cr_assert(handed.revision == 6 && handed.drained_zones == std::vector<std::string>{"z1"});
}

Test(catalog_drains, a_node_that_the_store_turns_away_learns_from_peers) {
  Node node;  // its store never answers
  node.catalog.ApplyCatalog(CatalogWithDrain(5, {}), "peer");
  node.catalog.Start();
  node.RunFor(4 * kCallTime);
  node.catalog.ApplyUpdate(UpdateWithDrain(5, 6, {"z1"}), "reader");
  node.RunFor(4 * kCallTime);
  cr_assert(node.IsDrained("z1"));
  node.catalog.ApplyCatalog(CatalogWithDrain(7, {}), "peer");
  node.RunFor(4 * kCallTime);
  cr_assert(!node.IsDrained("z1"));
}

Test(catalog_drains, a_body_that_cannot_be_read_drains_all_the_same) {
  Node node;
  StartReading(node, PlainList(10));
  node.store.Push(WrittenAt("drains/z1", kUnreadable, 11));
  node.RunFor(kEventTime);
  cr_assert(node.IsDrained("z1"));
  RangeResult list = PlainList(20);
  list.kvs.push_back(ItemOf("drains/z2", std::string(1, '\0'), 15));
  node.store.SetList(std::move(list));
  node.store.LoseHistory();
  node.RunFor(kEventTime);
  cr_assert(!node.IsDrained("z1") && node.IsDrained("z2"));
}

Test(catalog_entries, one_overwritten_by_unreadable_bytes_takes_its_own_back_end_and_no_other) {
  Node node;
  StartReading(node, PlainList(10));
  cr_assert(node.Knows("a") && node.Knows("b"));
  testing::LogCapture capture;
  node.store.Push(WrittenAt("backends/a", kUnreadable, 11));
  node.RunFor(kEventTime);
  cr_assert(!node.Knows("a") && node.Knows("b") && node.catalog.Revision() == 11);
  const std::string line = capture.LineOf("backend_invalid");
  cr_assert(line.find("backend=a") != std::string::npos);
  node.store.Push(WrittenAt("backends/a", "s", 12));
  node.RunFor(kEventTime);
  cr_assert(node.Knows("a"), "a valid entry makes it usable again");
}

// After an absence of the store, entries that are missing count as lapsed for a while. One that was
// overwritten is not missing.
Test(catalog_entries, one_overwritten_while_the_store_was_away_is_not_kept_as_lapsed) {
  Node node;
  StartReading(node, PlainList(10));
  const TimePoint long_ago = Now() - LapseGrace::kMinOutage - seconds(1);
  node.context.routing.Confirm(long_ago);
  RangeResult list =
      ListOf(20, {ItemOf("document", DocumentText(3), 4), ItemOf("backends/a", kUnreadable, 15)});
  node.store.SetList(std::move(list));
  node.store.LoseHistory();
  node.RunFor(kEventTime);
  cr_assert(node.Knows("b"), "its entry is missing and may have lapsed");
  cr_assert(!node.Knows("a"));
}

Test(catalog_entries, one_of_a_service_without_a_name_in_the_document_hides_no_live_back_end) {
  Node node;
  StartReading(node, PlainList(10));
  node.store.Push(GoneAt("backends/b", 11));
  node.store.Push(WrittenAt("backends/stranger", "unheard-of", 12));  // at the address of "a"
  // Where the test was held up for seconds "b" counts as lapsed first, and stands for a while.
  const auto is_told = [&node] { return node.Knows("stranger") && !node.Knows("b"); };
  cr_assert(testing::RunUntil(node.io, is_told));
  cr_assert(node.Registry().ReadyOf("s").size() == 1);
  cr_assert(node.Registry().ReadyOf("s")[0]->id == "a");
}

}  // namespace
}  // namespace cartsail
