// Tests the engine orders of CapacityPlanner against a simulated platform, in virtual time.
#include "cartsail/duties/capacity_planner.h"

#include <algorithm>
#include <functional>

#include "support/engine_platform.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using testing::EnginePlatform;

constexpr Duration kStep = milliseconds(250);
constexpr int64_t kInitialEngines = 28;  // in each zone at the start, at the full price

EngineScaling Scaling() {
  EngineScaling scaling;
  scaling.least = 1;
  scaling.most = 56;
  scaling.boot = seconds(4);
  scaling.reclaimable_price = 0.22;
  scaling.zones = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}};
  return scaling;
}

CapacityPolicy Policy() {
  CapacityPolicy policy;
  policy.reserve = 2;
  policy.full_price_reserve = 1.2;
  policy.first_cost_share = 0.11;  // buys half of the maximum at 0.22 of the price
  policy.demand_half_life = seconds(20);
  policy.full_price_base = 1;
  policy.target_utilization = 0.5;
  return policy;
}

struct Fleet {
  explicit Fleet(CapacityPolicy policy = Policy(), bool first_start = false)
      : planner(policy, first_start) {}

  // Runs with `requests` at the engines. Returns the smallest number of ready engines during the
  // run.
  int64_t Run(Duration duration, int64_t requests) {
    const TimePoint end = now + duration;
    int64_t fewest = platform.Engines(now);
    while (now < end) {
      for (const EngineOrder& order : planner.Plan(platform.View(requests, now), now)) {
        planner.OnOrdered(order, platform.Order(order, now), now);
      }
      now += kStep;
      fewest = std::min(fewest, platform.Engines(now));
    }
    return fewest;
  }

  EnginePlatform platform{Scaling(), kInitialEngines};
  CapacityPlanner planner;
  TimePoint now = TimePoint() + seconds(1000);
};

Test(capacity_planner, engines_at_the_full_price_are_replaced_by_cheap_ones) {
  Fleet fleet;
  const double before = fleet.platform.Price(fleet.now);
  const int64_t fewest = fleet.Run(seconds(30), 200);
  cr_assert(fewest >= 200 / 6, "%ld engines", fewest);
  cr_assert(fleet.platform.Engines(fleet.now) >= 2 * 200 / 6);
  cr_assert(fleet.platform.Price(fleet.now) < 0.3 * before);
  for (const ZonePrice& zone : Scaling().zones) {
    cr_assert(fleet.platform.Engines(zone.zone, EngineKind::kFullPrice, fleet.now) == 1);
  }
  cr_assert(fleet.platform.MaxOrdered() <= Scaling().most);
}

Test(capacity_planner, a_steady_load_takes_no_orders) {
  Fleet fleet;
  fleet.Run(seconds(30), 200);
  const int orders = fleet.platform.Orders();
  fleet.Run(seconds(60), 200);
  cr_assert(fleet.platform.Orders() == orders);
}

Test(capacity_planner, a_burst_gets_engines_after_their_start_and_they_stay_for_a_while) {
  Fleet fleet;
  fleet.Run(seconds(30), 200);
  fleet.Run(seconds(5), 800);
  const int64_t in_burst = fleet.platform.Engines(fleet.now);
  cr_assert(in_burst >= 220, "%ld engines", in_burst);
  fleet.Run(seconds(10), 200);
  cr_assert(fleet.platform.Engines(fleet.now) >= 160);
  fleet.Run(seconds(120), 200);
  cr_assert(fleet.platform.Engines(fleet.now) <= 116);
}

Test(capacity_planner, what_one_zone_lacks_is_ordered_in_the_others) {
  Fleet fleet;
  fleet.Run(seconds(30), 300);
  const int64_t before = fleet.platform.Engines(fleet.now);
  fleet.platform.ReclaimAll("b");
  fleet.Run(seconds(6), 300);
  cr_assert(fleet.platform.Engines(fleet.now) >= before - 4);
  cr_assert(fleet.platform.Engines("b", EngineKind::kFullPrice, fleet.now) == 1);
  fleet.platform.SetNoCapacity("b", false);
  fleet.Run(seconds(20), 300);
  cr_assert(fleet.platform.Engines("b", EngineKind::kReclaimable, fleet.now) >= 20);
}

Test(capacity_planner, where_all_are_taken_away_the_full_price_is_paid_for_what_is_needed) {
  Fleet fleet;
  fleet.Run(seconds(30), 300);
  for (const ZonePrice& zone : Scaling().zones) fleet.platform.ReclaimAll(zone.zone);
  fleet.Run(seconds(8), 300);
  const int64_t engines = fleet.platform.Engines(fleet.now);
  cr_assert(engines >= 60, "%ld engines", engines);
  cr_assert(engines < 100, "%ld engines", engines);
  for (const ZonePrice& zone : Scaling().zones) fleet.platform.SetNoCapacity(zone.zone, false);
  fleet.Run(seconds(60), 300);
  for (const ZonePrice& zone : Scaling().zones) {
    cr_assert(fleet.platform.Engines(zone.zone, EngineKind::kFullPrice, fleet.now) == 1);
  }
}

// The maximum is wanted while the initial full-price engines still run, so they must make room.
Test(capacity_planner, engines_at_the_full_price_make_room_where_the_most_is_wanted) {
  CapacityPolicy policy = Policy();
  policy.first_cost_share = 1;
  policy.demand_half_life = seconds(3600);
  Fleet fleet(policy);
  fleet.Run(seconds(40), 200);
  cr_assert(fleet.platform.Engines(fleet.now) >= 4 * Scaling().most - 4);
  for (const ZonePrice& zone : Scaling().zones) {
    cr_assert(fleet.platform.Engines(zone.zone, EngineKind::kFullPrice, fleet.now) == 1);
  }
  cr_assert(fleet.platform.MaxOrdered() <= Scaling().most);
}

Test(capacity_planner, a_lost_order_is_given_again) {
  Fleet fleet;
  fleet.platform.DropNext(4);
  fleet.Run(seconds(30), 300);
  cr_assert(fleet.platform.Engines(fleet.now) >= 2 * 300 / 6);
}

// The new holder does not know the load yet and sees no requests.
Test(capacity_planner, a_new_holder_gives_no_engine_at_the_full_price_up_at_once) {
  Fleet fleet;
  const int64_t fewest = fleet.Run(milliseconds(2500), 0);
  cr_assert(fewest == 4 * kInitialEngines);
}

// No requests run yet: not waiting saves three seconds of 112 full-price engines.
Test(capacity_planner, at_the_first_start_of_the_system_cheap_engines_are_ordered_at_once) {
  Fleet fleet(Policy(), true);
  fleet.Run(milliseconds(500), 0);
  for (const ZonePrice& zone : Scaling().zones) {
    cr_assert(fleet.platform.Engines(zone.zone, EngineKind::kFullPrice, fleet.now) == 1);
  }
  fleet.Run(seconds(5), 0);
  cr_assert(fleet.platform.Engines(fleet.now) >= 112);
}

// Reclaimable capacity returns while full-price engines still replace it under load.
Test(capacity_planner, a_zone_that_has_cheap_engines_again_goes_over_to_them_in_parts) {
  CapacityPolicy policy = Policy();
  policy.full_price_reserve = 1.2;
  Fleet fleet(policy);
  fleet.Run(seconds(30), 1200);
  fleet.platform.ReclaimAll("b");
  fleet.Run(seconds(10), 1200);
  cr_assert(fleet.platform.Engines("b", EngineKind::kFullPrice, fleet.now) == 55);
  fleet.platform.SetNoCapacity("b", false);
  const int64_t fewest = fleet.Run(seconds(40), 1200);
  cr_assert(fewest >= 224 - 15, "%ld engines", fewest);
  cr_assert(fleet.platform.Engines("b", EngineKind::kFullPrice, fleet.now) == 1);
  cr_assert(fleet.platform.Engines("b", EngineKind::kReclaimable, fleet.now) == 55);
  cr_assert(fleet.platform.MaxOrdered() <= Scaling().most);
}

Test(capacity_planner, without_reclaimable_engines_all_are_ordered_at_the_full_price) {
  CapacityPolicy policy = Policy();
  policy.uses_reclaimable = false;
  Fleet fleet(policy);
  fleet.Run(seconds(20), 900);
  cr_assert(fleet.platform.Engines(fleet.now) == 224);
  cr_assert(fleet.platform.Engines("a", EngineKind::kReclaimable, fleet.now) == 0);
}

Test(capacity_planner, settings_that_contradict_each_other_order_nothing) {
  CapacityView view;
  view.scaling = Scaling();
  view.scaling.least = 60;
  CapacityPlanner planner(Policy(), false);
  cr_assert(planner.Plan(view, TimePoint() + seconds(10)).empty());
  view.scaling = Scaling();
  view.scaling.zones.clear();
  cr_assert(planner.Plan(view, TimePoint() + seconds(20)).empty());
}

}  // namespace
}  // namespace cartsail
