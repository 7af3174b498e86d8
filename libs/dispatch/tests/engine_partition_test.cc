#include "cartsail/dispatch/engine_partition.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

Test(partition, follows_the_share_of_urgent_work) {
  const PartitionPolicy policy;
  const double calm = WantedLightEngines(policy, {500, 1000, 10, 0, 48}, 12);
  const double rush = WantedLightEngines(policy, {500, 5000, 10, 0, 48}, 12);
  const double questions = WantedLightEngines(policy, {2000, 1000, 10, 0, 48}, 12);
  cr_assert(rush < calm && calm < questions);
}

Test(partition, gives_urgent_work_what_it_needs_at_least) {
  const PartitionPolicy policy;
  cr_assert(WantedLightEngines(policy, {2000, 90000, 0, 0, 48}, 12) >= 5);
  cr_assert(WantedLightEngines(policy, {0, 90000, 24 * 6, 0, 48}, 12) >= 6);
  cr_assert(WantedLightEngines(policy, {0, 0, 0, 0, 48}, 12) >= 12 * policy.min_light_share);
}

// With few slots per engine, running requests count even when there is little prefill work.
Test(partition, running_requests_need_slots) {
  const PartitionPolicy policy;
  const double few = WantedLightEngines(policy, {100, 1000, 20, 100, 12}, 30);
  const double many = WantedLightEngines(policy, {100, 1000, 80, 100, 12}, 30);
  const double crowded = WantedLightEngines(policy, {100, 1000, 80, 400, 12}, 30);
  cr_assert(many > few && crowded < many);
}

Test(partition, small_changes_move_no_engine) {
  LightEngineTarget target;
  cr_assert(target.Update(4.0, 12) == 4);
  cr_assert(target.Update(4.7, 12) == 4);
  cr_assert(target.Update(3.3, 12) == 4);
  cr_assert(target.Update(5.0, 12) == 5);
  cr_assert(target.Update(20, 3) == 2);
  cr_assert(target.Update(0.1, 1) == 1);
}

Test(partition, rates_of_peers_count_until_they_expire) {
  ServiceWorkView view(seconds(5));
  view.Note("s", true, 100, kStart);
  view.SetPeer("n2", {{"s", 30, 70}}, kStart + seconds(1));
  const ServiceWork total = view.Total("s", kStart);
  cr_assert(total.light_ms_per_s > 49 && total.light_ms_per_s < 51);
  cr_assert(total.heavy_ms_per_s == 70);
  cr_assert(view.Total("s", kStart + seconds(2)).heavy_ms_per_s == 0);
  cr_assert(view.Total("t", kStart).light_ms_per_s == 0);
}

}  // namespace
}  // namespace cartsail
