// A model of the platform that starts and stops engines on order, in virtual time.
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
  EnginePlatform(EngineScaling scaling, int64_t full_price_in_each_zone);

  // Engines that were ordered start after the boot time; those beyond the order go at once.
  OrderOutcome Order(const EngineOrder& order, TimePoint now);

  // The order gets no answer and is never carried out.
  void LoseNext(int orders) { to_lose_ = orders; }

  // All reclaimable engines of the zone are gone, and none is to be had there.
  void TakeAway(const std::string& zone);
  void SetDry(const std::string& zone, bool dry) { dry_[zone] = dry; }

  // The next orders get no answer and are carried out that much later.
  void DelayNext(int orders, Duration delay);

  // Engines are cold for that long after their start.
  void SetWarmUp(Duration warm_up) { warm_up_ = warm_up; }

  void Drain(const std::string& zone) { drained_.insert(zone); }
  // All of the zone's engines are cold again.
  void Restore(const std::string& zone, TimePoint now);
  // Requests that run in a zone, drained or not.
  void SetRunning(const std::string& zone, int64_t requests) { running_[zone] = requests; }

  // Carries out what is due of the delayed orders.
  void Advance(TimePoint now);

  CapacityView View(int64_t requests, TimePoint now);

  // Engines that serve and are warm, in zones that are not drained.
  int64_t Bearing(TimePoint now) const;

  int64_t Engines(TimePoint now);
  int64_t Engines(const std::string& zone, EngineKind kind, TimePoint now);

  // What the engines there cost a second.
  double Price(TimePoint now);

  // The most and the least that was ordered in one zone, of both kinds together.
  int64_t MostOrdered() const { return most_ordered_; }
  int Orders() const { return orders_; }
  // Orders that asked for more engines in a zone while it was drained.
  int OrdersIntoDrained() const { return into_drained_; }

 private:
  using Line = std::pair<std::string, EngineKind>;

  struct Engine {
    TimePoint ready;
    TimePoint warm;
  };

  struct DelayedOrder {
    EngineOrder order;
    TimePoint due;
  };

  int64_t Warm(const std::string& zone, EngineKind kind, TimePoint now) const;
  void CarryOut(const EngineOrder& order, TimePoint now);

  EngineScaling scaling_;
  std::map<Line, std::vector<Engine>> engines_;
  std::map<Line, int64_t> ordered_;
  std::map<std::string, bool> dry_;
  std::set<std::string> drained_;
  std::map<std::string, int64_t> running_;
  std::vector<DelayedOrder> delayed_;
  Duration warm_up_{};
  Duration delay_{};
  int to_lose_ = 0;
  int to_delay_ = 0;
  int into_drained_ = 0;
  int64_t most_ordered_ = 0;
  int orders_ = 0;
};

}  // namespace cartsail::testing
