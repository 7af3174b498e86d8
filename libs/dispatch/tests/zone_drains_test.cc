#include "cartsail/dispatch/zone_drains.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1000));

Test(zone_drains, a_zone_is_drained_until_it_is_restored) {
  ZoneDrains drains;
  cr_assert(drains.IsEmpty() && !drains.IsDrained("a"));
  cr_assert(drains.Drain("a", kStart));
  cr_assert(drains.IsDrained("a") && !drains.IsDrained("b") && !drains.IsEmpty());
  cr_assert(drains.Restore("a", kStart + seconds(5)));
  cr_assert(!drains.IsDrained("a") && drains.IsEmpty());
}

Test(zone_drains, a_repeated_call_changes_nothing) {
  ZoneDrains drains;
  drains.Drain("a", kStart);
  cr_assert(!drains.Drain("a", kStart + seconds(3)));
  cr_assert(drains.DrainedSince("a") == kStart, "it has been drained since the first call");
  drains.Restore("a", kStart + seconds(5));
  cr_assert(!drains.Restore("a", kStart + seconds(9)));
  cr_assert(drains.RestoredAt("a") == kStart + seconds(5));
  cr_assert(!drains.Restore("b", kStart) && !drains.RestoredAt("b").has_value());
}

Test(zone_drains, times_are_of_the_latest_drain_only) {
  ZoneDrains drains;
  cr_assert(!drains.DrainedSince("a").has_value() && !drains.RestoredAt("a").has_value());
  drains.Drain("a", kStart);
  drains.Restore("a", kStart + seconds(5));
  cr_assert(!drains.DrainedSince("a").has_value());
  drains.Drain("a", kStart + seconds(7));
  cr_assert(drains.DrainedSince("a") == kStart + seconds(7));
  cr_assert(!drains.RestoredAt("a").has_value(), "it is drained again");
}

Test(zone_drains, all_zones_are_replaced_at_once) {
  ZoneDrains drains;
  drains.Drain("a", kStart);
  drains.Drain("b", kStart);
  cr_assert(drains.ReplaceAll({"b", "c"}, kStart + seconds(2)));
  cr_assert(drains.Zones() == (std::vector<std::string>{"b", "c"}));
  cr_assert(drains.RestoredAt("a") == kStart + seconds(2));
  cr_assert(drains.DrainedSince("b") == kStart, "it was drained before");
  cr_assert(drains.DrainedSince("c") == kStart + seconds(2));
  cr_assert(!drains.ReplaceAll({"c", "b"}, kStart + seconds(3)), "nothing changed");
  cr_assert(drains.ReplaceAll({}, kStart + seconds(4)) && drains.IsEmpty());
}

}  // namespace
}  // namespace cartsail
