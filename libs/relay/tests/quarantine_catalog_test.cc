// How a node that took no part in the count learns which requests are kept from back ends: from the
// store, from a peer's catalog, from updates; and how it learns that one no longer is.
#include "fleet/datagram.h"
#include "support/catalog_node.h"
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
constexpr RequestFingerprint kDeadly = 0xab;
constexpr char kDeadlyKey[] = "quarantine/00000000000000ab";

RangeResult PlainList(int64_t revision) {
  return ListOf(revision, {ItemOf("document", DocumentText(3), 4), ItemOf("backends/a", "s", 5)});
}

void StartReading(Node& node, RangeResult list) {
  node.store.SetList(std::move(list));
  node.catalog.Start();
  node.RunFor(2 * kCallTime);
}

bool IsKept(Node& node) {
  return node.context.quarantine.LeftFor({kDeadly, {}}, Now()).has_value();
}

// The catalog that `from` hands to a node that knows nothing.
CatalogMessage Handed(Node& from) {
  HttpRequest request;
  request.target = "/";
  const std::optional<CatalogMessage> catalog =
      DecodeCatalog(from.catalog.AnswerPeer(request), Now());
  cr_assert(catalog.has_value());
  return *catalog;
}

// All nodes were lost: nobody else knows it.
Test(quarantine_catalog, is_read_with_the_first_list) {
  Node node;
  RangeResult list = PlainList(9);
  list.kvs.push_back(ItemOf(kDeadlyKey, "", 8));
  list.kvs.push_back(ItemOf("quarantine/no-fingerprint", "", 8));
  StartReading(node, std::move(list));
  cr_assert(IsKept(node));
  cr_assert(node.context.quarantine.List().Size() == 1);
}

Test(quarantine_catalog, follows_the_store) {
  Node node;
  StartReading(node, PlainList(9));
  cr_assert(!IsKept(node));
  node.store.Push(WrittenAt(kDeadlyKey, "", 10));
  node.RunFor(kEventTime);
  cr_assert(IsKept(node));
  node.store.Push(GoneAt(kDeadlyKey, 11));
  node.RunFor(kEventTime);
  cr_assert(!IsKept(node), "an operator has taken it back");
}

Test(quarantine_catalog, is_handed_to_a_node_that_starts) {
  Node from;
  StartReading(from, PlainList(9));
  (void)Handed(from);  // kept for a while for all that ask
  from.store.Push(WrittenAt(kDeadlyKey, "", 10));
  from.RunFor(kEventTime);
  Node to;
  to.catalog.ApplyCatalog(Handed(from), "peer");
  const std::optional<Duration> left = to.context.quarantine.LeftFor({kDeadly, {}}, Now());
  cr_assert(left.has_value());
  cr_assert(*left > kQuarantineTime - seconds(5) && *left <= kQuarantineTime);
}

// An update carries few of the quarantined requests: its revision says nothing of the others.
Test(quarantine_catalog, follows_the_store_also_behind_a_later_update_of_a_peer) {
  Node node;
  StartReading(node, PlainList(9));
  StoreUpdate update;
  update.changes.since = 9;
  update.changes.revision = 11;
  update.document_version = node.context.routing.Version();
  cr_assert(node.catalog.ApplyUpdate(update, "peer"));
  node.store.Push(WrittenAt(kDeadlyKey, "", 10));
  node.RunFor(kEventTime);
  cr_assert(IsKept(node));
}

// A node that missed every word of the quarantine itself.
Test(quarantine_catalog, comes_with_the_next_change) {
  Node reader;
  std::vector<StoreUpdate> told;
  reader.catalog.SetOnUpdate([&told](StoreUpdate update) { told.push_back(std::move(update)); });
  StartReading(reader, PlainList(9));
  Node other;
  other.catalog.ApplyCatalog(Handed(reader), "peer");
  told.clear();
  reader.store.Push(WrittenAt(kDeadlyKey, "", 10));
  reader.RunFor(kEventTime);
  cr_assert(!told.empty());
  for (const StoreUpdate& update : told) {
    const std::optional<Datagram> datagram = DecodeDatagram(EncodeDatagram(update, Now()), Now());
    (void)other.catalog.ApplyUpdate(std::get<StoreUpdate>(*datagram), "peer");
  }
  cr_assert(IsKept(other));
}

// Word of the quarantine that was under way when it was lifted.
Test(quarantine_catalog, a_catalog_does_not_bring_back_what_was_lifted) {
  Node from;
  RangeResult list = PlainList(9);
  list.kvs.push_back(ItemOf(kDeadlyKey, "", 8));
  StartReading(from, std::move(list));
  const CatalogMessage catalog = Handed(from);
  Node to;
  to.context.quarantine.OnNotice({kDeadly, true, {}, {}, {}, {}}, Now());
  to.catalog.ApplyCatalog(catalog, "peer");
  cr_assert(!IsKept(to));
}

Test(quarantine_catalog, messages_are_read_back) {
  const QuarantineNotice notice{kDeadly, false, seconds(590), seconds(2), {1, 2, 3}, {"10.0.0.7"}};
  const std::optional<Datagram> read = DecodeDatagram(EncodeDatagram(notice));
  const auto* told = std::get_if<QuarantineNotice>(&*read);
  cr_assert(told != nullptr);
  cr_assert(told->request == kDeadly && !told->is_lifted && told->left == seconds(590));
  cr_assert(told->first_strike_age == seconds(2));
  cr_assert(told->backends == notice.backends && told->targets == notice.targets);
  const TimePoint now = Now();
  const StrikeReport report{{{kDeadly, 7, now - milliseconds(40)}, {1, 8, now}}};
  const std::optional<Datagram> strikes = DecodeDatagram(EncodeDatagram(report, now), now);
  cr_assert(std::get<StrikeReport>(*strikes).strikes == report.strikes);
}

}  // namespace
}  // namespace cartsail
