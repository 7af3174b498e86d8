#include "cartsail/dispatch/backend_registry.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

Backend Make(const std::string& id, const std::string& address, int64_t created = 1) {
  Backend backend;
  backend.id = id;
  backend.service = "s";
  backend.address = address;
  backend.created_revision = created;
  return backend;
}

Test(registry, of_two_entries_with_one_address_the_newer_counts) {
  BackendRegistry registry;
  registry.Put(Make("old", "a:1", 5));
  registry.Put(Make("new", "a:1", 9));
  cr_assert(registry.ReadyOf("s").size() == 1);
  cr_assert(registry.ReadyOf("s")[0]->id == "new");
}

Test(registry, an_address_reused_by_another_service_is_not_offered_for_the_first) {
  BackendRegistry registry;
  registry.Put(Make("old", "a:1", 5));
  Backend other = Make("other", "a:1", 9);
  other.service = "t";
  registry.Put(other);
  cr_assert(registry.ReadyOf("s").empty());
  cr_assert(registry.ReadyOf("t").size() == 1);
}

Test(registry, leaving_is_final_for_one_start) {
  BackendRegistry registry;
  registry.Put(Make("b", "a:1"));
  registry.MarkLeaving(KeyOf("b"));
  cr_assert(registry.ReadyOf("s").empty());
  registry.Put(Make("b", "a:1"));
  cr_assert(registry.ReadyOf("s").empty());
  registry.ReplaceAll({Make("b", "a:1"), Make("c", "a:2")});
  cr_assert(registry.ReadyOf("s").size() == 1);
  cr_assert(registry.Leaving() == std::vector<BackendKey>{KeyOf("b")});
}

const TimePoint kNow = TimePoint(seconds(1000));

Test(registry, a_missing_back_end_stays_for_its_time_or_is_back) {
  BackendRegistry registry;
  registry.Put(Make("lapsed", "a:1"));
  registry.Put(Make("dead", "a:2"));
  registry.Put(Make("left", "a:3"));
  registry.MarkLeaving(KeyOf("left"));
  registry.ReplaceAll({}, kNow + seconds(2));
  cr_assert(registry.ReadyOf("s").size() == 2);
  cr_assert(registry.Find("left") == nullptr, "a leaving one is gone at once");
  cr_assert(!registry.RemoveMissing(kNow + seconds(1)));
  registry.Put(Make("lapsed", "a:1", 7));
  // A later list does not extend the time until a missing back end is removed.
  registry.ReplaceAll({Make("lapsed", "a:1", 7)}, kNow + seconds(9));
  cr_assert(registry.RemoveMissing(kNow + seconds(2)));
  cr_assert(registry.ReadyOf("s").size() == 1 && registry.ReadyOf("s")[0]->id == "lapsed");
  cr_assert(!registry.RemoveMissing(kNow + seconds(60)));
}

Test(registry, an_entry_removed_with_time_left_is_ready_until_then) {
  BackendRegistry registry;
  registry.Put(Make("b", "a:1"));
  registry.Remove("b", kNow + seconds(2));
  cr_assert(registry.ReadyOf("s").size() == 1);
  registry.MarkLeaving(KeyOf("b"));
  cr_assert(registry.ReadyOf("s").empty());
  cr_assert(registry.RemoveMissing(kNow + seconds(2)));
  cr_assert(registry.Size() == 0);
}

Test(registry, a_full_list_removes_back_ends_that_it_does_not_contain) {
  BackendRegistry registry;
  registry.Put(Make("b", "a:1"));
  registry.ReplaceAll({Make("c", "a:2")});
  cr_assert(registry.Find("b") == nullptr);
  registry.Remove("c");
  cr_assert(registry.Size() == 0);
  registry.MarkLeaving(KeyOf("c"));
  cr_assert(registry.Size() == 0);
}

Test(registry, a_missing_one_reported_by_a_peer_is_removed_at_its_time) {
  const TimePoint now = TimePoint(seconds(1000));
  BackendRegistry registry;
  Backend backend;
  backend.id = "b";
  backend.missing_until = now + seconds(1);
  registry.Put(backend);
  cr_assert(!registry.RemoveMissing(now) && registry.Find("b") != nullptr);
  cr_assert(registry.RemoveMissing(now + seconds(1)) && registry.Find("b") == nullptr);
}

Backend MakeIn(const std::string& zone, const std::string& id) {
  Backend backend = Make(id, id + ":1");
  backend.zone = zone;
  return backend;
}

Test(registry, back_ends_of_a_drained_zone_get_nothing_and_those_of_another_do) {
  const TimePoint now = TimePoint(seconds(1000));
  BackendRegistry registry;
  registry.Put(MakeIn("a", "in-a"));
  registry.Put(MakeIn("b", "in-b"));
  cr_assert(registry.DrainedOf("s").empty());
  const int64_t before = registry.Changes();
  cr_assert(registry.DrainZone("a", now));
  cr_assert(registry.Changes() > before, "data derived from the registry is outdated");
  cr_assert(registry.ReadyOf("s").size() == 1 && registry.ReadyOf("s")[0]->id == "in-b");
  cr_assert(registry.DrainedOf("s").size() == 1 && registry.DrainedOf("s")[0]->id == "in-a");
  cr_assert(!registry.IsOpen(*registry.Find("in-a")));
  cr_assert(registry.IsOpen(*registry.Find("in-b")));
  const int64_t drained = registry.Changes();
  cr_assert(!registry.DrainZone("a", now) && registry.Changes() == drained);
  cr_assert(registry.RestoreZone("a", now) && registry.Changes() > drained);
  cr_assert(registry.ReadyOf("s").size() == 2 && registry.DrainedOf("s").empty());
}

Test(registry, a_zone_stays_drained_for_back_ends_that_come_later) {
  const TimePoint now = TimePoint(seconds(1000));
  BackendRegistry registry;
  cr_assert(registry.ReplaceDrainedZones({"a"}, now));
  registry.Put(MakeIn("a", "new"));
  registry.ReplaceAll({MakeIn("a", "newer"), MakeIn("a", "new")});
  cr_assert(registry.ReadyOf("s").empty() && registry.DrainedOf("s").size() == 2);
}

Test(registry, one_that_leaves_a_drained_zone_is_not_among_the_drained) {
  const TimePoint now = TimePoint(seconds(1000));
  BackendRegistry registry;
  registry.Put(MakeIn("a", "b"));
  registry.DrainZone("a", now);
  registry.MarkLeaving(KeyOf("b"));
  cr_assert(registry.DrainedOf("s").empty());
  registry.RestoreZone("a", now);
  cr_assert(registry.ReadyOf("s").empty() && !registry.IsOpen(*registry.Find("b")));
}

Test(registry, an_entry_of_an_unconfigured_service_hides_no_live_back_end) {
  BackendRegistry registry;
  registry.Put(Make("live", "a:1", 5));
  Backend unconfigured = Make("stranger", "a:1", 9);
  unconfigured.service = "unheard-of";
  registry.Put(unconfigured);
  cr_assert(registry.ReadyOf("s").empty(), "the configured services are not known yet");
  const int64_t before = registry.Changes();
  registry.SetServices({"s", "t"});
  cr_assert(registry.Changes() > before);
  cr_assert(registry.ReadyOf("s").size() == 1 && registry.ReadyOf("s")[0]->id == "live");
  registry.SetServices({"s", "unheard-of"});
  cr_assert(registry.ReadyOf("s").empty(), "a configured service owns the address now");
}

}  // namespace
}  // namespace cartsail
