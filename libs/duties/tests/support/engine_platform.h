// Simulates, in virtual time, the platform that starts and stops engines on order.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cartsail/duties/capacity_planner.h"

namespace cartsail::testing {

class EnginePlatform {
 public:
  // Each zone begins with `full_price_in_each_zone` warm full-price engines.
  EnginePlatform(EngineScaling scaling, int64_t full_price_in_each_zone);

  // New engines are ready after the boot time; engines beyond the order stop immediately.
  OrderOutcome Order(const EngineOrder& order, TimePoint now);

  // The next orders get no answer and are never carried out.
  void DropNext(int orders) { to_drop_ = orders; }

  // Stops all reclaimable engines of the zone and makes none available there.
  void ReclaimAll(const std::string& zone);
  void SetNoCapacity(const std::string& zone, bool no_capacity) {
    no_capacity_[zone] = no_capacity;
  }

  // The next orders get no answer and are carried out after `delay`.
  void DelayNext(int orders, Duration delay);

  // Sets how long engines are cold after they are ready.
  void SetWarmUp(Duration warm_up) { warm_up_ = warm_up; }

  void Drain(const std::string& zone) { drained_.insert(zone); }
  // Ends the drain; all of the zone's engines are cold again.
  void Restore(const std::string& zone, TimePoint now);
  // Sets the number of requests running in a zone, drained or not.
  void SetRunning(const std::string& zone, int64_t requests) { running_[zone] = requests; }

  // Carries out the delayed orders that are due.
  void Advance(TimePoint now);

  CapacityView View(int64_t requests, TimePoint now);

  // Number of warm engines in zones that are not drained.
  int64_t WarmServing(TimePoint now) const;

  // Number of engines that are ready, cold ones included.
  int64_t Engines(TimePoint now);
  int64_t Engines(const std::string& zone, EngineKind kind, TimePoint now);

  // Current cost of all ready engines per unit of time; 1 is a full-price engine in a zone of price
  // 1.
  double Price(TimePoint now);

  // Greatest number of engines ordered in one zone, of both kinds together.
  int64_t MaxOrdered() const { return max_ordered_; }
  int Orders() const { return orders_; }
  // Number of orders for additional engines in a zone while it was drained.
  int OrdersIntoDrained() const { return orders_into_drained_; }

 private:
  using EngineGroup = std::pair<std::string, EngineKind>;

  struct Engine {
    TimePoint ready;
    TimePoint warm;
  };

  struct DelayedOrder {
    EngineOrder order;
    TimePoint due;
  };

  int64_t Warm(const std::string& zone, EngineKind kind, TimePoint now) const;
  void Execute(const EngineOrder& order, TimePoint now);

  EngineScaling scaling_;
  std::map<EngineGroup, std::vector<Engine>> engines_;
  std::map<EngineGroup, int64_t> ordered_;
  std::map<std::string, bool> no_capacity_;
  std::set<std::string> drained_;
  std::map<std::string, int64_t> running_;
  std::vector<DelayedOrder> delayed_;
  Duration warm_up_{};
  Duration delay_{};
  int to_drop_ = 0;
  int to_delay_ = 0;
  int orders_into_drained_ = 0;
  int64_t max_ordered_ = 0;
  int orders_ = 0;
};

}  // namespace cartsail::testing
