// Decides how many engines of a service to order in each zone, and of which kind: at the full
// price, or reclaimable ones, which are cheaper and may be taken away, all of a zone at once. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cartsail/duties/capacity_policy.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

enum class EngineKind { kFullPrice, kReclaimable };

// The engines of one zone that run and are not leaving, also where the zone is drained.
struct ZoneEngines {
  int64_t full_price = 0;
  int64_t reclaimable = 0;
  // Of these: still slow after their start.
  int64_t cold_full_price = 0;
  int64_t cold_reclaimable = 0;
  int64_t requests = 0;  // that run or wait there
};

// What a plan is made from.
struct CapacityView {
  EngineScaling scaling;
  std::map<std::string, ZoneEngines> engines;  // by zone
  // Their engines get no new request: they bear nothing.
  std::set<std::string> drained_zones;
  Duration warm_up{};  // from an engine's start until it bears what the others bear
  // Requests that run or wait at engines, and requests that one engine runs at once. Those in
  // drained zones count: those that follow them come to the other zones.
  int64_t requests = 0;
  int64_t slots = 1;
};

// `engines`: so many of this kind in all, those there are included.
struct EngineOrder {
  std::string zone;
  EngineKind kind = EngineKind::kFullPrice;
  int64_t engines = 0;

  bool operator==(const EngineOrder&) const = default;
};

enum class OrderOutcome { kAccepted, kNoCapacity, kUnknown };

// One for each service.
class CapacityPlanner {
 public:
  // `first_start`: of the whole system. Nothing runs at the engines yet, so that those at the full
  // price may be given up before this planner has watched the load.
  CapacityPlanner(CapacityPolicy policy, bool first_start)
      : policy_(policy), first_start_(first_start) {}

  // The orders to give now.
  std::vector<EngineOrder> Plan(const CapacityView& view, TimePoint now);

  void OnOrdered(const EngineOrder& order, OrderOutcome outcome, TimePoint now);

  // Engines that the load needs now, the reserve included; for logs.
  int64_t Wanted() const { return wanted_; }

 private:
  struct Line {                      // orders of one kind in one zone
    std::optional<int64_t> ordered;  // nothing before the first order
    TimePoint ordered_at{};
    bool is_dry = false;  // the platform had none to give
  };

  struct ZonePlan {
    int64_t full_price = 0;
    int64_t reclaimable = 0;
  };

  double FirstNeed(const EngineScaling& scaling) const;
  bool HasReclaimable(const EngineScaling& scaling) const {
    return policy_.uses_reclaimable && scaling.reclaimable_price > 0;
  }
  int64_t EnginesWanted(const CapacityView& view, TimePoint now);
  void NoteDrains(const CapacityView& view, TimePoint now);
  void SetWanted(int64_t wanted, TimePoint now);
  double Bearing(int64_t engines, int64_t cold) const;
  double BearingOf(const CapacityView& view) const;
  bool IsSettled(TimePoint now) const {
    return (first_start_ && !has_seen_load_) || now - *first_plan_ >= policy_.settling_time;
  }
  int64_t FullPriceWanted(const std::string& zone, const ZonePlan& part, const ZoneEngines& present,
                          const CapacityView& view, TimePoint now);
  int64_t ReclaimableWanted(const std::string& zone, int64_t planned, int64_t present,
                            double* surplus);
  std::map<std::string, ZonePlan> Divide(const CapacityView& view);
  void AddFullPrice(const CapacityView& view, std::map<std::string, ZonePlan>* plan) const;
  void AddOrdersForOpenZones(const CapacityView& view, TimePoint now,
                             std::vector<EngineOrder>* orders);
  void AddOrdersForDrainedZones(const CapacityView& view, TimePoint now,
                                std::vector<EngineOrder>* orders);
  bool MayGiveUp(const std::string& zone, const CapacityView& view, TimePoint now);
  void AddOrder(const std::string& zone, EngineKind kind, int64_t wanted, int64_t present,
                const EngineScaling& scaling, TimePoint now, std::vector<EngineOrder>* orders);
  Line& LineOf(const std::string& zone, EngineKind kind);
  bool IsDry(const std::string& zone);

  CapacityPolicy policy_;
  bool first_start_;
  std::map<std::string, Line> full_price_;   // by zone
  std::map<std::string, Line> reclaimable_;  // by zone
  std::map<std::string, TimePoint> drained_since_;
  double needed_ = 0;   // engines, as seen, falling slowly
  double assumed_ = 0;  // the same before the load is known
  TimePoint needed_at_{};
  TimePoint shrunk_at_{};
  std::optional<TimePoint> first_plan_;
  bool has_seen_load_ = false;
  int64_t wanted_ = 0;
};

}  // namespace cartsail
