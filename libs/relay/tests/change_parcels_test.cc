#include "catalog/change_batches.h"
#include "catalog/early_updates.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using Changes = std::vector<BackendChanges::Change>;

Changes ChangesAt(int64_t first, int count) {
  Changes changes;
  for (int i = 0; i < count; ++i) changes.push_back({first + i, "b" + std::to_string(i)});
  return changes;
}

Test(change_parcels, follow_each_other_without_a_gap) {
  constexpr int kCount = 100;
  const auto parcels = MakeChangeBatches(ChangesAt(11, kCount), 10, 115);
  cr_assert(parcels.size() == 7);
  size_t ids = 0;
  int64_t reached = 10;
  for (const ChangeBatch& parcel : parcels) {
    cr_assert(parcel.since == reached && parcel.ids.size() <= kChangesPerBatch);
    reached = parcel.revision;
    ids += parcel.ids.size();
  }
  cr_assert(reached == 115 && ids == kCount);
}

Test(change_parcels, what_changed_at_one_revision_stays_together) {
  Changes changes = ChangesAt(11, 15);
  for (int i = 0; i < 5; ++i) changes.push_back({30, "same" + std::to_string(i)});
  changes.push_back({31, "last"});
  const auto parcels = MakeChangeBatches(changes, 10, 31);
  cr_assert(parcels.size() == 2);
  cr_assert(parcels[0].ids.size() == 20 && parcels[0].revision == 30);
  cr_assert(parcels[1].since == 30 && parcels[1].ids.size() == 1);
}

Test(change_parcels, of_no_changes_or_too_many_the_revision_alone_is_told) {
  const auto none = MakeChangeBatches({}, 10, 12);
  cr_assert(none.size() == 1 && none[0].since == 10 && none[0].revision == 12);
  const int many = static_cast<int>(kMaxChangesSent) + 1;
  const auto fetched = MakeChangeBatches(ChangesAt(11, many), 10, 500);
  cr_assert(fetched.size() == 1 && fetched[0].ids.empty() && fetched[0].since == 500);
}

StoreUpdate UpdateOf(int64_t since, int64_t revision) {
  StoreUpdate update;
  update.changes.since = since;
  update.changes.revision = revision;
  return update;
}

Test(early_updates, come_in_their_order_once_the_gap_is_closed) {
  EarlyUpdates early;
  early.Keep(UpdateOf(30, 40));
  early.Keep(UpdateOf(20, 30));
  early.Keep(UpdateOf(5, 9));
  cr_assert(!early.TakeNext(10).has_value(), "known already, or behind the gap");
  cr_assert(early.TakeNext(20)->changes.revision == 30);
  cr_assert(early.TakeNext(30)->changes.revision == 40);
  cr_assert(!early.TakeNext(40).has_value());
}

Test(early_updates, are_bounded) {
  EarlyUpdates early;
  const auto most = static_cast<int64_t>(EarlyUpdates::kMaxUpdates);
  for (int64_t since = 1; since <= 2 * most; ++since) early.Keep(UpdateOf(since, 1000));
  cr_assert(early.TakeNext(2 * most).has_value());
  cr_assert(!early.TakeNext(1000).has_value());
}

}  // namespace
}  // namespace cartsail
