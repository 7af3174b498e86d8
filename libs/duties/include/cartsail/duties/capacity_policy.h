// How many engines a service is to have, as one plain struct of settings. Pure.
#pragma once

#include <cstdint>

#include "cartsail/base/clock.h"

namespace cartsail {

struct CapacityPolicy {
  // False: orders are only logged, none is sent.
  bool sends_orders = true;
  // Engines that may be taken away are ordered. False: all are ordered at the full price.
  bool uses_reclaimable = true;
  // Engines held for each one that the present load needs. Bursts of three times the load come
  // within a second, and an engine takes seconds to start.
  double reserve = 3;
  // The same where reclaimable engines are not to be had and the full price is to be paid.
  // At 0.5 such engines are ordered when what is left would run with most slots taken.
  double full_price_reserve = 0.5;
  // What is held before the load is known, and fades once it is: as many engines as cost this share
  // of what the most that may be ordered would cost at the full price. Of reclaimable ones at a
  // fifth of the price that is all that may be ordered.
  double first_cost_share = 0.25;
  // Engines at the full price in each zone: they stay when all others are taken away at once.
  int64_t full_price_base = 1;
  // Share of an engine's slots that the load is to take on average. Above it, streams beside
  // prompts that are read miss their pauses.
  double target_utilization = 0.4;
  // Needs fall no faster than by half in this time: bursts come again.
  Duration demand_half_life = seconds(60);
  // A new holder knows the load and the engines after this time: digests of nodes come within two
  // seconds, and engines that start together are listed within three. Before, no engine at the full
  // price is given up, and nothing is ordered without a load.
  Duration settling_time = seconds(3);
  // Where both kinds together reach the most there may be, engines at the full price are replaced
  // in parts: this share of the most at a time.
  double replacement_step_share = 0.25;
  // More engines are ordered at once, fewer at most so often.
  Duration shrink_interval = seconds(5);
  // Engines that were ordered and are not there are ordered again after their start and this time.
  Duration reorder_margin = seconds(3);
  // What a cold engine bears, as a share of a warm one. Services tell the rate of a cold engine and
  // not that of a warm one; at a quarter nothing else is given up for engines that cannot replace
  // it.
  double cold_engine_weight = 0.25;
  // Idle engines of a drained zone are paid for until the drain has lasted this many times as long
  // as others take to start and warm up: they hold prompts, and most drains are shorter. Paying for
  // as long as a replacement would cost anyway at most doubles what the best guess would pay.
  double drain_hold_factor = 2;
  // After the platform had none to give.
  Duration no_capacity_backoff = seconds(2);
};

}  // namespace cartsail
