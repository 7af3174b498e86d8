// A model of the platform that starts and stops engines on order, in virtual time.
#pragma once

#include <cstdint>
#include <map>
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

  CapacityView View(int64_t requests, TimePoint now);

  int64_t Engines(TimePoint now);
  int64_t Engines(const std::string& zone, EngineKind kind, TimePoint now);

  // What the engines there cost a second.
  double Price(TimePoint now);

  // The most and the least that was ordered in one zone, of both kinds together.
  int64_t MostOrdered() const { return most_ordered_; }
  int Orders() const { return orders_; }

 private:
  using Line = std::pair<std::string, EngineKind>;

  struct Engine {
    TimePoint ready;
  };

  EngineScaling scaling_;
  std::map<Line, std::vector<Engine>> engines_;
  std::map<Line, int64_t> ordered_;
  std::map<std::string, bool> dry_;
  int to_lose_ = 0;
  int64_t most_ordered_ = 0;
  int orders_ = 0;
};

}  // namespace cartsail::testing
