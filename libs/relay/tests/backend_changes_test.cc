#include "catalog/backend_changes.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

using Ids = std::set<std::string>;

Test(backend_changes, are_told_since_any_revision_that_is_remembered) {
  BackendChanges changes;
  cr_assert(!changes.Since(5).has_value(), "nothing is known at first");
  changes.Reset(10);
  cr_assert(!changes.Since(9).has_value());
  cr_assert(changes.Since(10) == Ids{});
  changes.Note("a", 11);
  changes.Note("b", 12);
  changes.Note("a", 14);
  cr_assert((changes.Since(10) == Ids{"a", "b"}));
  cr_assert((changes.Since(12) == Ids{"a"}));
  cr_assert((changes.Since(14) == Ids{}));
  changes.Reset(20);
  cr_assert(!changes.Since(14).has_value() && changes.Since(20) == Ids{});
}

Test(backend_changes, those_that_are_forgotten_are_not_left_out) {
  BackendChanges changes;
  changes.Reset(0);
  const auto most = static_cast<int64_t>(BackendChanges::kMost);
  for (int64_t revision = 1; revision <= most + 1; ++revision) {
    changes.Note("b" + std::to_string(revision), revision);
  }
  cr_assert(!changes.Since(0).has_value());
  cr_assert(changes.Since(1)->size() == BackendChanges::kMost);
}

}  // namespace
}  // namespace cartsail
