// Tests the engine orders of CapacityPlanner while zones are drained and restored, in virtual time.
#include <algorithm>
#include <string>

#include "cartsail/duties/capacity_planner.h"
#include "support/engine_platform.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::EnginePlatform;

constexpr Duration kStep = milliseconds(250);
constexpr Duration kWarmUp = seconds(3);
constexpr int64_t kInitialEngines = 28;  // in each zone at the start, at the full price
constexpr int64_t kRequests = 360;       // 60 engines of 12 slots are needed, 120 with the reserve

EngineScaling Scaling() {
  EngineScaling scaling;
  scaling.least = 1;
  scaling.most = 56;
  scaling.boot = seconds(4);
  scaling.reclaimable_price = 0.2;
  scaling.zones = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}};
  return scaling;
}

CapacityPolicy Policy() {
  CapacityPolicy policy;
  policy.reserve = 2;
  policy.full_price_reserve = 1.2;
  policy.first_cost_share = 0.1;
  policy.demand_half_life = seconds(20);
  policy.target_utilization = 0.5;
  return policy;
}

struct Fleet {
  Fleet() { platform.SetWarmUp(kWarmUp); }

  // Returns the smallest number of warm engines in zones that were not drained during the run.
  int64_t Run(Duration duration) {
    const TimePoint end = now + duration;
    int64_t fewest = platform.WarmServing(now);
    while (now < end) {
      platform.Advance(now);
      for (const EngineOrder& order : planner.Plan(platform.View(kRequests, now), now)) {
        planner.OnOrdered(order, platform.Order(order, now), now);
      }
      now += kStep;
      fewest = std::min(fewest, platform.WarmServing(now));
    }
    return fewest;
  }

  int64_t EnginesIn(const std::string& zone) {
    return platform.Engines(zone, EngineKind::kFullPrice, now) +
           platform.Engines(zone, EngineKind::kReclaimable, now);
  }

  void ChangeHolder() { planner = CapacityPlanner(Policy(), false); }

  EnginePlatform platform{Scaling(), kInitialEngines};
  CapacityPlanner planner{Policy(), false};
  TimePoint now = TimePoint() + seconds(1000);
};

// After boot and warm-up, the other zones have the capacity that all three had, up to their
// maximum.
Test(capacity_drain, a_drained_zone_is_replaced_in_the_others_immediately) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t before = fleet.platform.WarmServing(fleet.now);
  fleet.platform.Drain("b");
  fleet.Run(Scaling().boot + kWarmUp + 2 * kStep);
  cr_assert(
      fleet.platform.WarmServing(fleet.now) >= std::min<int64_t>(before, 2 * Scaling().most) - 2,
      "%ld of %ld", fleet.platform.WarmServing(fleet.now), before);
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
}

// Engines hold cached prompts, and a short drain is paid for less long than starting replacements
// would take.
Test(capacity_drain, a_short_drain_takes_no_engine_away) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t present = fleet.EnginesIn("b");
  fleet.platform.Drain("b");
  fleet.Run(seconds(10));
  cr_assert(fleet.EnginesIn("b") == present, "%ld of %ld", fleet.EnginesIn("b"), present);
}

Test(capacity_drain, idle_engines_are_given_up_when_the_drain_outlasts_their_start) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  cr_assert(fleet.EnginesIn("b") == 1, "%ld", fleet.EnginesIn("b"));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
}

// Stopping an engine would break off the requests that it runs.
Test(capacity_drain, engines_that_still_run_requests_stay) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t present = fleet.EnginesIn("b");
  fleet.platform.SetRunning("b", 1);
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  cr_assert(fleet.EnginesIn("b") == present);
  fleet.platform.SetRunning("b", 0);
  fleet.Run(seconds(2));
  cr_assert(fleet.EnginesIn("b") == 1);
}

// All engines of the restored zone are cold.
Test(capacity_drain, others_are_shrunk_only_when_a_restored_zone_bears_its_part) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  const int64_t drained = fleet.platform.WarmServing(fleet.now);
  fleet.platform.Restore("b", fleet.now);
  const int64_t fewest = fleet.Run(seconds(20));
  cr_assert(fewest >= drained - 2, "%ld of %ld", fewest, drained);
  cr_assert(fleet.EnginesIn("b") >= 38, "%ld", fleet.EnginesIn("b"));
  cr_assert(fleet.EnginesIn("a") <= 42, "%ld", fleet.EnginesIn("a"));
}

// After a short drain the zone still has its engines, but they are cold.
Test(capacity_drain, cold_engines_do_not_replace_warm_ones) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(8));
  const int64_t drained = fleet.platform.WarmServing(fleet.now);
  fleet.platform.Restore("b", fleet.now);
  const int64_t fewest = fleet.Run(seconds(10));
  cr_assert(fewest >= drained - 2, "%ld of %ld", fewest, drained);
  cr_assert(fleet.EnginesIn("a") <= 42, "%ld", fleet.EnginesIn("a"));
}

// The order is carried out after the drain began, so the zone gets engines that are no longer
// wanted.
Test(capacity_drain, an_order_that_was_under_way_brings_no_further_one) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t present = fleet.EnginesIn("b");
  fleet.platform.DelayNext(1, seconds(3));
  fleet.platform.ReclaimAll("b");
  fleet.platform.SetNoCapacity("b", false);
  fleet.Run(seconds(1));
  fleet.platform.Drain("b");
  fleet.Run(seconds(9));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
  cr_assert(fleet.platform.WarmServing(fleet.now) >= 2 * Scaling().most - 2, "%ld",
            fleet.platform.WarmServing(fleet.now));
  cr_assert(fleet.EnginesIn("b") <= present + 1);
  fleet.Run(seconds(20));
  cr_assert(fleet.EnginesIn("b") == 1, "%ld", fleet.EnginesIn("b"));
}

Test(capacity_drain, orders_carried_out_seconds_late_are_made_good) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.platform.DelayNext(2, seconds(6));
  fleet.Run(seconds(20));
  cr_assert(fleet.platform.WarmServing(fleet.now) >= 2 * Scaling().most - 2, "%ld",
            fleet.platform.WarmServing(fleet.now));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
  cr_assert(fleet.platform.MaxOrdered() <= Scaling().most);
}

// The new holder learns of the drain from the catalog, but does not know the earlier orders.
Test(capacity_drain, a_new_holder_goes_on_with_the_drain) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(1));
  fleet.ChangeHolder();
  fleet.Run(seconds(12));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
  cr_assert(fleet.platform.WarmServing(fleet.now) >= 2 * Scaling().most - 2, "%ld",
            fleet.platform.WarmServing(fleet.now));
}

// The holder changes after the zone is restored and before its engines are ready and warm.
Test(capacity_drain, a_new_holder_shrinks_nothing_before_a_restored_zone_bears_its_part) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  const int64_t drained = fleet.platform.WarmServing(fleet.now);
  fleet.platform.Restore("b", fleet.now);
  fleet.ChangeHolder();
  const int64_t fewest = fleet.Run(seconds(20));
  cr_assert(fewest >= drained - 2, "%ld of %ld", fewest, drained);
}

// Engines given up in the drained zone might not be available again.
Test(capacity_drain, where_others_have_none_the_drained_zone_keeps_its_engines) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t present = fleet.EnginesIn("b");
  fleet.platform.SetNoCapacity("a", true);
  fleet.platform.SetNoCapacity("c", true);
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  cr_assert(fleet.EnginesIn("b") == present, "%ld of %ld", fleet.EnginesIn("b"), present);
  cr_assert(fleet.platform.WarmServing(fleet.now) >= 72, "%ld",
            fleet.platform.WarmServing(fleet.now));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
}

// The zone had no capacity before the drain. After it, engines are ordered there immediately,
// despite the earlier refusal.
Test(capacity_drain, a_drained_zone_does_not_stay_without_capacity) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.ReclaimAll("b");
  fleet.Run(seconds(6));
  fleet.platform.Drain("b");
  fleet.Run(seconds(10));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
  fleet.platform.SetNoCapacity("b", false);
  fleet.platform.Restore("b", fleet.now);
  fleet.Run(Scaling().boot + 2 * kStep);
  cr_assert(fleet.EnginesIn("b") >= 38, "%ld", fleet.EnginesIn("b"));
}

Test(capacity_drain, with_all_zones_drained_nothing_is_ordered) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int orders = fleet.platform.Orders();
  for (const ZonePrice& zone : Scaling().zones) fleet.platform.Drain(zone.zone);
  fleet.Run(seconds(8));
  cr_assert(fleet.platform.Orders() == orders);
  for (const ZonePrice& zone : Scaling().zones) fleet.platform.Restore(zone.zone, fleet.now);
  fleet.Run(seconds(4));
  cr_assert(fleet.platform.WarmServing(fleet.now) >= 110);
}

}  // namespace
}  // namespace cartsail
