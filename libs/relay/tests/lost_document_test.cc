// Guards against a configuration that the whole fleet loses: a node took the revision that a peer
// told for the changes of the back ends as one up to which it had the routing document too, passed
// over the document in its own watch, and confirmed the older one as the newest from then on.
#include "cartsail/relay/admission.h"
#include "catalog/catalog_sync.h"
#include "support/catalog_node.h"
#include "support/relay_fixture.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::CatalogOf;
using testing::DocumentText;
using testing::ItemOf;
using testing::kCallTime;
using testing::ListOf;
using testing::WrittenAt;

// A pause of the node after each answer with changes, and a call.
constexpr Duration kNextWatch = milliseconds(400);

// A reader of the store, alone but for a peer that tells it of changes.
struct Reader : testing::CatalogNode {
  Reader() {
    store.SetList(ListOf(10, {ItemOf("document", DocumentText(1), 9)}));
    catalog.Start();
    RunFor(2 * kCallTime);
    cr_assert(context.routing.Version() == 1);
  }

  Duration LimitBehind() const { return context.document_limits.direct_read_when_behind; }
};

// As a reader sends it that has document `version` and all changes up to `revision`.
StoreUpdate UpdateTo(int64_t revision, int64_t version) {
  StoreUpdate update;
  update.changes.since = 10;
  update.changes.revision = revision;
  update.document_version = version;
  return update;
}

Test(lost_document, a_document_in_the_own_watch_is_applied_after_a_later_update_of_a_peer) {
  Reader node;
  cr_assert(!node.catalog.ApplyUpdate(UpdateTo(12, 2), "peer"));
  node.store.Push(WrittenAt("document", DocumentText(2), 11));
  node.RunFor(kNextWatch);
  cr_assert(node.context.routing.Version() == 2);
}

Test(lost_document, a_watch_that_begins_again_asks_for_the_document_that_a_peers_update_lacked) {
  Reader node;
  cr_assert(!node.catalog.ApplyUpdate(UpdateTo(12, 2), "peer"));
  // Ends the watch. The update has brought this change.
  node.store.Push(WrittenAt("drains/z9", "", 10));
  node.RunFor(kNextWatch);
  cr_assert(node.store.WatchStarts().size() == 2);
  cr_assert(node.store.WatchStarts().back() == 11, "from %ld",
            static_cast<long>(node.store.WatchStarts().back()));
}

Test(lost_document, changes_from_a_peer_do_not_replace_a_lost_history) {
  Reader node;
  node.store.SetList({});  // the store is away
  node.store.LoseHistory();
  node.RunFor(2 * kCallTime);
  (void)node.catalog.ApplyUpdate(UpdateTo(13, 1), "peer");
  node.store.SetList(ListOf(13, {ItemOf("document", DocumentText(2), 11)}));
  node.RunFor(seconds(1));
  cr_assert(node.context.routing.Version() == 2);
}

Test(lost_document, a_document_patch_that_does_not_apply_is_asked_for_in_the_watch) {
  Reader node;
  CatalogMessage catalog = CatalogOf(12, 3, "b");
  catalog.document = {2, MakeDocumentPatch(DocumentText(2), DocumentText(3))};
  node.catalog.ApplyCatalog(catalog, "peer");
  cr_assert(node.context.routing.Version() == 1 && node.catalog.Revision() == 12);
  node.store.Push(WrittenAt("document", DocumentText(2), 11));
  node.store.Push(WrittenAt("document", DocumentText(3), 12));
  node.RunFor(kNextWatch);
  cr_assert(node.context.routing.Version() == 3);
}

Test(lost_document, a_reader_that_knows_of_a_newer_document_reads_it_beside_its_watch) {
  Reader node;
  node.store.SetList(ListOf(12, {ItemOf("document", DocumentText(2), 11)}));
  (void)node.catalog.ApplyUpdate(UpdateTo(12, 2), "peer");
  const TimePoint end = Now() + 2 * node.LimitBehind();
  while (Now() < end) {
    node.store.AnswerEmpty();
    node.RunFor(kCallTime);
  }
  cr_assert(node.context.routing.Version() == 2);
}

Test(lost_document, an_empty_answer_confirms_no_document_of_which_a_newer_one_is_known) {
  Reader node;
  (void)node.catalog.ApplyUpdate(UpdateTo(12, 2), "peer");
  const TimePoint confirmed = node.context.routing.Confirmed();
  node.store.AnswerEmpty();
  node.RunFor(kCallTime);
  cr_assert(node.context.routing.Confirmed() == confirmed);
}

Test(lost_document, another_document_than_the_one_that_is_lacked_does_not_end_the_search) {
  Reader node;
  node.store.SetList(ListOf(13, {ItemOf("document", DocumentText(3), 13)}));
  (void)node.catalog.ApplyUpdate(UpdateTo(13, 3), "peer");
  node.RunFor(node.LimitBehind() / 2);
  node.catalog.ApplyCatalog(CatalogOf(11, 2, "b"), "peer");
  cr_assert(node.context.routing.Version() == 2);
  node.RunFor(2 * node.LimitBehind());
  cr_assert(node.context.routing.Version() == 3);
}

// A route that is unknown here may be in the newer document: 404 would be final.
Test(lost_document, nothing_unknown_is_refused_for_good_while_a_newer_document_is_known) {
  Reader node;
  const Duration trusted_for = node.context.document_limits.max_age_to_refuse_unknown;
  RequestHead head;
  head.host = "unknown.example";
  head.target = "/";
  const auto refusal = [&node, &head, trusted_for] {
    return Admit(head, node.context.routing, node.format, trusted_for, Now()).refusal->kind;
  };
  cr_assert(refusal() == ErrorKind::kUnknownPath);
  (void)node.catalog.ApplyUpdate(UpdateTo(12, 2), "peer");
  cr_assert(refusal() == ErrorKind::kNotReady);
}

}  // namespace
}  // namespace cartsail
