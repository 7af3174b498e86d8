// Drained zones, and incarnations of one back end, as the registry keeps them.
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/zone_drains.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr TimePoint kNow = TimePoint() + seconds(1000);

Backend Make(const std::string& id, const std::string& zone, int64_t started_ms = 1) {
  Backend backend;
  backend.id = id;
  backend.service = "s";
  backend.address = id + ":1";
  backend.zone = zone;
  backend.started_ms = started_ms;
  return backend;
}

Test(zone_drains, are_kept_with_their_times) {
  ZoneDrains drains;
  cr_assert(drains.Drain("a", kNow));
  cr_assert(!drains.Drain("a", kNow + seconds(1)), "nothing new");
  cr_assert(drains.DrainedSince("a") == kNow);
  cr_assert(drains.ReplaceAll({"b"}, kNow + seconds(2)));
  cr_assert(!drains.IsDrained("a") && drains.IsDrained("b"));
  cr_assert(drains.RestoredAt("a") == kNow + seconds(2));
  cr_assert(!drains.DrainedSince("a").has_value() && !drains.RestoredAt("b").has_value());
  cr_assert(!drains.ReplaceAll({"b"}, kNow + seconds(3)));
}

Test(zone_drains, back_ends_get_nothing_until_their_zone_is_restored) {
  BackendRegistry registry;
  registry.Put(Make("x", "a"));
  registry.Put(Make("y", "b"));
  const int64_t before = registry.Changes();
  cr_assert(registry.DrainZone("a", kNow));
  cr_assert(registry.Changes() > before, "data derived from the registry is outdated");
  cr_assert(registry.ReadyOf("s").size() == 1 && registry.ReadyOf("s")[0]->id == "y");
  cr_assert(registry.DrainedOf("s").size() == 1 && registry.DrainedOf("s")[0]->id == "x");
  cr_assert(!registry.IsOpen(*registry.Find("x")));
  cr_assert(registry.RestoreZone("a", kNow + seconds(1)));
  cr_assert(registry.ReadyOf("s").size() == 2 && registry.DrainedOf("s").empty());
}

// The entry arrives after the drain, or the back end starts while the zone is drained.
Test(zone_drains, hold_for_back_ends_that_come_later) {
  BackendRegistry registry;
  registry.DrainZone("a", kNow);
  registry.Put(Make("x", "a"));
  cr_assert(registry.ReadyOf("s").empty());
  registry.Put(Make("x", "a", 2));
  cr_assert(registry.ReadyOf("s").empty());
  registry.ReplaceAll({Make("x", "a", 3), Make("z", "a")});
  cr_assert(registry.ReadyOf("s").empty() && registry.DrainedOf("s").size() == 2);
}

Test(incarnations, have_their_own_keys_and_earlier_ones_are_ignored) {
  BackendRegistry registry;
  registry.Put(Make("x", "a", 5));
  const BackendKey first = registry.Find("x")->key;
  registry.MarkLeaving(KeyOf("x"));
  registry.Put(Make("x", "a", 6));
  const BackendKey second = registry.Find("x")->key;
  cr_assert(first != second);
  cr_assert(registry.FindByKey(first) == nullptr);
  cr_assert(registry.ReadyOf("s").size() == 1, "the earlier incarnation was leaving");
  registry.Put(Make("x", "a", 5));
  cr_assert(registry.Find("x")->key == second);
}

}  // namespace
}  // namespace cartsail
