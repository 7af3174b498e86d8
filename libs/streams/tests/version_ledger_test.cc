#include "cartsail/streams/version_ledger.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

Test(version_ledger, keeps_each_version_once_through_the_store) {
  VersionLedger ledger({"v2", "v1", "v2"});
  ledger.Add("v1");
  ledger.Add("an \"odd\" one\n");
  const std::optional<VersionLedger> read = VersionLedger::Decode(ledger.Encode());
  cr_assert(read.has_value() && read->Versions() == ledger.Versions());
  cr_assert(read->Versions().size() == 3 && read->Has("v2") && !read->Has("v3"));
}

Test(version_ledger, malformed_text_is_rejected) {
  for (const char* text : {"", "{}", "[1]", "[\"v1\"", "\xff"}) {
    cr_assert(!VersionLedger::Decode(text).has_value(), "%s", text);
  }
}

Test(version_ledger, drops_versions_that_are_not_kept) {
  VersionLedger ledger({"v1", "v2", "v3"});
  cr_assert(ledger.KeepOnly({"v3", "v4"}) && ledger.Versions().size() == 1);
  cr_assert(!ledger.KeepOnly({"v3"}));
}

Test(version_ledger, a_single_version_is_that_of_every_stream) {
  const VersionLedger one({"v1"});
  cr_assert(OnlyVersion({one, {"v1"}, false}) == "v1");
  cr_assert(!OnlyVersion({VersionLedger({"v1", "v2"}), {"v1"}, false}).has_value());
  cr_assert(!OnlyVersion({VersionLedger(), {"v1"}, false}).has_value());
  cr_assert(!OnlyVersion({std::nullopt, {"v1"}, false}).has_value());
}

// Engines of a version that is not in the ledger have started no streams, except for nodes that do
// not ask the ledger.
Test(version_ledger, earlier_builds_may_have_started_streams_at_listed_versions) {
  const VersionLedger one({"v1"});
  cr_assert(OnlyVersion({one, {"v1", "v2"}, false}) == "v1");
  cr_assert(!OnlyVersion({one, {"v1", "v2"}, true}).has_value());
  cr_assert(OnlyVersion({one, {"v1"}, true}) == "v1");
}

}  // namespace
}  // namespace cartsail
