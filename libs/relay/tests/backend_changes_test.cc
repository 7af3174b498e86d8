#include "catalog/backend_changes.h"

#include <set>

#include "testing/criterion.h"

namespace cartsail {
namespace {

using Ids = std::set<std::string>;

// Nothing when that is not known.
std::optional<Ids> IdsSince(const BackendChanges& changes, int64_t revision) {
  const auto known = changes.Since(revision);
  if (!known.has_value()) return std::nullopt;
  Ids ids;
  for (const BackendChanges::Change& change : *known) ids.insert(change.id);
  return ids;
}

Test(backend_changes, are_told_since_any_revision_that_is_remembered) {
  BackendChanges changes;
  cr_assert(!changes.Since(5).has_value(), "nothing is known at first");
  changes.Reset(10);
  cr_assert(!changes.Since(9).has_value());
  cr_assert(IdsSince(changes, 10) == Ids{});
  changes.Note("a", 11);
  changes.Note("b", 12);
  changes.Note("a", 14);
  cr_assert((IdsSince(changes, 10) == Ids{"a", "b"}));
  cr_assert((IdsSince(changes, 12) == Ids{"a"}));
  cr_assert((IdsSince(changes, 14) == Ids{}));
  changes.Reset(20);
  cr_assert(!changes.Since(14).has_value() && IdsSince(changes, 20) == Ids{});
}

Test(backend_changes, those_that_are_forgotten_are_not_left_out) {
  BackendChanges changes;
  changes.Reset(0);
  const auto most = static_cast<int64_t>(BackendChanges::kMaxChanges);
  for (int64_t revision = 1; revision <= most + 1; ++revision) {
    changes.Note("b" + std::to_string(revision), revision);
  }
  cr_assert(!changes.Since(0).has_value());
  cr_assert(changes.Since(1)->size() == BackendChanges::kMaxChanges);
}

// A zone of a fleet with 3,000 back ends is lost and comes back, which changes each of them several
// times: a peer that missed it is told of these, and not of all there are.
Test(backend_changes, each_back_end_is_remembered_once_however_often_it_changes) {
  constexpr int kZone = 1000;
  BackendChanges changes;
  changes.Reset(0);
  int64_t revision = 0;
  for (int round = 0; round < 5; ++round) {
    for (int i = 0; i < kZone; ++i) changes.Note("b" + std::to_string(i), ++revision);
  }
  cr_assert(changes.Since(0).has_value());
  cr_assert(changes.Since(0)->size() == kZone);
  changes.Note("b7", ++revision);
  const auto last = changes.Since(revision - 2);
  cr_assert(last->size() == 2);
  cr_assert(last->back().id == "b7" && last->back().revision == revision, "the latest last");
}

}  // namespace
}  // namespace cartsail
