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

Test(version_ledger, what_is_no_ledger_is_none) {
  for (const char* text : {"", "{}", "[1]", "[\"v1\"", "\xff"}) {
    cr_assert(!VersionLedger::Decode(text).has_value(), "%s", text);
  }
}

Test(version_ledger, drops_what_is_kept_no_longer) {
  VersionLedger ledger({"v1", "v2", "v3"});
  cr_assert(ledger.KeepOnly({"v3", "v4"}) && ledger.Versions().size() == 1);
  cr_assert(!ledger.KeepOnly({"v3"}));
}

Test(version_ledger, only_one_version_tells_that_of_every_stream) {
  const VersionLedger one({"v1"});
  cr_assert(OnlyVersion({one, {"v1"}, false}) == "v1");
  cr_assert(!OnlyVersion({VersionLedger({"v1", "v2"}), {"v1"}, false}).has_value());
  cr_assert(!OnlyVersion({VersionLedger(), {"v1"}, false}).has_value());
  cr_assert(!OnlyVersion({std::nullopt, {"v1"}, false}).has_value());
}

// Engines of a version that is not in the ledger have begun no stream, but at nodes that do not
// ask.
Test(version_ledger, earlier_builds_may_have_begun_streams_at_what_is_listed) {
  const VersionLedger one({"v1"});
  cr_assert(OnlyVersion({one, {"v1", "v2"}, false}) == "v1");
  cr_assert(!OnlyVersion({one, {"v1", "v2"}, true}).has_value());
  cr_assert(OnlyVersion({one, {"v1"}, true}) == "v1");
}

}  // namespace
}  // namespace cartsail
