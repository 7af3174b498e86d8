// Guards against requests to a back end that has left: a node took the age of a peer's list for
// that of its own, though it had only the first of several updates that carry the list's last
// changes.
#include <string>
#include <vector>

#include "catalog/catalog_sync.h"
#include "support/catalog_node.h"
#include "support/run_until.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::DocumentText;
using testing::ItemOf;
using testing::kCallTime;
using testing::ListOf;
using testing::WrittenAt;

struct Reader : testing::CatalogNode {
  Reader() {
    store.SetList(ListOf(10, {ItemOf("document", DocumentText(1), 9)}));
    catalog.Start();
    RunFor(2 * kCallTime);
    cr_assert(catalog.Revision() == 10);
  }
};

Test(list_age, the_age_of_a_list_holds_only_for_a_node_that_has_all_of_it) {
  Reader sender;
  Reader receiver;
  std::vector<StoreUpdate> updates;
  sender.catalog.SetOnUpdate([&updates](StoreUpdate update) { updates.push_back(update); });
  constexpr int64_t kChanges = 20;  // more than one update carries
  for (int64_t i = 1; i <= kChanges; ++i) {
    sender.store.Push(WrittenAt("backends/b" + std::to_string(i), "s", 10 + i));
  }
  cr_assert(testing::RunUntil(sender.io, [&updates] { return updates.size() >= 2; }));
  const TimePoint confirmed = receiver.context.backend_list.confirmed;
  (void)receiver.catalog.ApplyUpdate(updates[0], "peer");
  cr_assert(receiver.catalog.Revision() > 10 && receiver.catalog.Revision() < 10 + kChanges);
  cr_assert(receiver.context.backend_list.confirmed == confirmed);
  (void)receiver.catalog.ApplyUpdate(updates[1], "peer");
  cr_assert(receiver.catalog.Revision() == 10 + kChanges);
  cr_assert(receiver.context.backend_list.confirmed > confirmed);
}

}  // namespace
}  // namespace cartsail
