// Settings of the capacity planner: how many engines a service is to have.
#pragma once

#include <cstdint>

#include "cartsail/base/clock.h"

namespace cartsail {

struct CapacityPolicy {
  // False: orders are logged but not sent to the platform.
  bool sends_orders = true;
  // Whether reclaimable engines are ordered. False: all engines are ordered at the full price.
  bool uses_reclaimable = true;
  // Engines ordered per engine that the current load needs. Bursts reach three times the load
  // within a second, while an engine takes seconds to start.
  double reserve = 3;
  // The same ratio where no reclaimable engines are available and the full price is paid. At 0.5,
  // full-price engines are ordered once the remaining engines would run with most slots in use.
  double full_price_reserve = 0.5;
  // Capacity ordered before the load is known, which decays once it is: as many engines as cost
  // this share of what the largest allowed number of engines would cost at the full price. If
  // reclaimable engines cost a fifth of the full price, 0.25 pays for all that may be ordered.
  double first_cost_share = 0.25;
  // Full-price engines kept in each zone: they remain when all reclaimable ones are taken away at
  // once.
  int64_t full_price_base = 1;
  // Average share of an engine's slots that the load is to occupy. Above it, streams that run
  // beside prompt processing exceed their limits for pauses.
  double target_utilization = 0.4;
  // Half-life of the estimated demand when the load falls: bursts recur.
  Duration demand_half_life = seconds(60);
  // Time after which a new duty holder knows the load and the engines: node digests arrive within
  // two seconds, and engines that start together are listed within three. Until then, full-price
  // engines stay as far as serving reclaimable ones do not cover the planned number, reserve
  // included, and nothing is ordered before any load was seen.
  Duration settling_time = seconds(3);
  // Where both kinds together exceed a zone's maximum, full-price engines are replaced in steps of
  // this share of the maximum.
  double replacement_step_share = 0.25;
  // Least time between two reductions of the number of engines. Increases take effect immediately.
  Duration shrink_interval = seconds(5);
  // An order whose engines are missing is repeated after their boot time plus this margin.
  Duration reorder_margin = seconds(3);
  // Capacity of a cold engine as a share of a warm one. Services declare the rate of a cold engine
  // but not that of a warm one; at a quarter, no engine is given up in favour of cold ones that
  // cannot replace it.
  double cold_engine_weight = 0.25;
  // Idle engines of a drained zone are kept until the drain has lasted this many times as long as
  // an engine takes to boot and warm up: they hold cached prompts, and most drains are shorter.
  // Paying for as long as a replacement would cost anyway at most doubles the cost of the best
  // decision made with hindsight.
  double drain_hold_factor = 2;
  // Time between two orders for a zone in which the platform has no engines available.
  Duration no_capacity_backoff = seconds(2);
};

}  // namespace cartsail
