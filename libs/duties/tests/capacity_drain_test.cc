// Orders of engines while zones are drained and restored, in virtual time.
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
constexpr int64_t kStanding = 28;   // in each zone at the start, at the full price
constexpr int64_t kRequests = 360;  // 60 engines of 12 slots are needed, 120 with the reserve

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

  // The fewest warm engines in zones that are not drained meanwhile.
  int64_t Run(Duration duration) {
    const TimePoint end = now + duration;
    int64_t fewest = platform.Bearing(now);
    while (now < end) {
      platform.Advance(now);
      for (const EngineOrder& order : planner.Plan(platform.View(kRequests, now), now)) {
        planner.OnOrdered(order, platform.Order(order, now), now);
      }
      now += kStep;
      fewest = std::min(fewest, platform.Bearing(now));
    }
    return fewest;
  }

  int64_t In(const std::string& zone) {
    return platform.Engines(zone, EngineKind::kFullPrice, now) +
           platform.Engines(zone, EngineKind::kReclaimable, now);
  }

  void ChangeHolder() { planner = CapacityPlanner(Policy(), false); }

  EnginePlatform platform{Scaling(), kStanding};
  CapacityPlanner planner{Policy(), false};
  TimePoint now = TimePoint() + seconds(1000);
};

// After boot and warm-up the other zones bear what all three bore.
Test(capacity_drain, a_drained_zone_is_replaced_in_the_others_at_the_word) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t before = fleet.platform.Bearing(fleet.now);
  fleet.platform.Drain("b");
  fleet.Run(Scaling().boot + kWarmUp + 2 * kStep);
  cr_assert(fleet.platform.Bearing(fleet.now) >= std::min<int64_t>(before, 2 * Scaling().most) - 2,
            "%ld of %ld", fleet.platform.Bearing(fleet.now), before);
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
}

// A short drain is no reason to start engines anew: they hold prompts, and are paid for less long
// than their replacement would take.
Test(capacity_drain, a_short_drain_takes_no_engine_away) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t there = fleet.In("b");
  fleet.platform.Drain("b");
  fleet.Run(seconds(10));
  cr_assert(fleet.In("b") == there, "%ld of %ld", fleet.In("b"), there);
}

Test(capacity_drain, idle_engines_are_given_up_when_the_drain_outlasts_their_start) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  cr_assert(fleet.In("b") == 1, "%ld", fleet.In("b"));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
}

// To give an engine up would cut what it runs.
Test(capacity_drain, engines_that_still_run_requests_stay) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t there = fleet.In("b");
  fleet.platform.SetRunning("b", 1);
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  cr_assert(fleet.In("b") == there);
  fleet.platform.SetRunning("b", 0);
  fleet.Run(seconds(2));
  cr_assert(fleet.In("b") == 1);
}

// All of the zone's engines come back cold.
Test(capacity_drain, others_are_shrunk_only_when_a_restored_zone_bears_its_part) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  const int64_t drained = fleet.platform.Bearing(fleet.now);
  fleet.platform.Restore("b", fleet.now);
  const int64_t fewest = fleet.Run(seconds(20));
  cr_assert(fewest >= drained - 2, "%ld of %ld", fewest, drained);
  cr_assert(fleet.In("b") >= 38, "%ld", fleet.In("b"));
  cr_assert(fleet.In("a") <= 42, "%ld", fleet.In("a"));
}

// The engines of a zone that was drained for a short while are there, and cold.
Test(capacity_drain, cold_engines_do_not_replace_warm_ones) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(8));
  const int64_t drained = fleet.platform.Bearing(fleet.now);
  fleet.platform.Restore("b", fleet.now);
  const int64_t fewest = fleet.Run(seconds(10));
  cr_assert(fewest >= drained - 2, "%ld of %ld", fewest, drained);
  cr_assert(fleet.In("a") <= 42, "%ld", fleet.In("a"));
}

// The order is carried out after the drain: the zone has engines that nothing asked for any more.
Test(capacity_drain, an_order_that_was_under_way_brings_no_further_one) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t there = fleet.In("b");
  fleet.platform.DelayNext(1, seconds(3));
  fleet.platform.TakeAway("b");
  fleet.platform.SetDry("b", false);
  fleet.Run(seconds(1));
  fleet.platform.Drain("b");
  fleet.Run(seconds(9));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
  cr_assert(fleet.platform.Bearing(fleet.now) >= 2 * Scaling().most - 2, "%ld",
            fleet.platform.Bearing(fleet.now));
  cr_assert(fleet.In("b") <= there + 1);
  fleet.Run(seconds(20));
  cr_assert(fleet.In("b") == 1, "%ld", fleet.In("b"));
}

Test(capacity_drain, orders_carried_out_seconds_late_are_made_good) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.platform.DelayNext(2, seconds(6));
  fleet.Run(seconds(20));
  cr_assert(fleet.platform.Bearing(fleet.now) >= 2 * Scaling().most - 2, "%ld",
            fleet.platform.Bearing(fleet.now));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
  cr_assert(fleet.platform.MostOrdered() <= Scaling().most);
}

// It knows the drain from the catalog, and nothing of the orders before.
Test(capacity_drain, a_new_holder_goes_on_with_the_drain) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(1));
  fleet.ChangeHolder();
  fleet.Run(seconds(12));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
  cr_assert(fleet.platform.Bearing(fleet.now) >= 2 * Scaling().most - 2, "%ld",
            fleet.platform.Bearing(fleet.now));
}

// A new holder after the word that the zone is restored, before its engines are there.
Test(capacity_drain, a_new_holder_shrinks_nothing_before_a_restored_zone_bears_its_part) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  const int64_t drained = fleet.platform.Bearing(fleet.now);
  fleet.platform.Restore("b", fleet.now);
  fleet.ChangeHolder();
  const int64_t fewest = fleet.Run(seconds(20));
  cr_assert(fewest >= drained - 2, "%ld of %ld", fewest, drained);
}

// What was given up in the drained zone might not be had again.
Test(capacity_drain, where_others_have_none_the_drained_zone_keeps_its_engines) {
  Fleet fleet;
  fleet.Run(seconds(30));
  const int64_t there = fleet.In("b");
  fleet.platform.SetDry("a", true);
  fleet.platform.SetDry("c", true);
  fleet.platform.Drain("b");
  fleet.Run(seconds(30));
  cr_assert(fleet.In("b") == there, "%ld of %ld", fleet.In("b"), there);
  cr_assert(fleet.platform.Bearing(fleet.now) >= 72, "%ld", fleet.platform.Bearing(fleet.now));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
}

// It had none to give before: after the drain it is asked at once, not by its word of before.
Test(capacity_drain, a_drained_zone_does_not_stay_dry) {
  Fleet fleet;
  fleet.Run(seconds(30));
  fleet.platform.TakeAway("b");
  fleet.Run(seconds(6));
  fleet.platform.Drain("b");
  fleet.Run(seconds(10));
  cr_assert(fleet.platform.OrdersIntoDrained() == 0);
  fleet.platform.SetDry("b", false);
  fleet.platform.Restore("b", fleet.now);
  fleet.Run(Scaling().boot + 2 * kStep);
  cr_assert(fleet.In("b") >= 38, "%ld", fleet.In("b"));
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
  cr_assert(fleet.platform.Bearing(fleet.now) >= 110);
}

}  // namespace
}  // namespace cartsail
