// Decides how many engines of a service to order in each zone, and of which kind: full-price ones,
// or reclaimable ones, which are cheaper and which the platform may take back, all of a zone at
// once. Does no I/O and reads no clock.
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

// Running engines of one zone, without those that are leaving. Reported for drained zones too.
struct ZoneEngines {
  int64_t full_price = 0;
  int64_t reclaimable = 0;
  // Of these: not yet warmed up after their start.
  int64_t cold_full_price = 0;
  int64_t cold_reclaimable = 0;
  int64_t requests = 0;  // running or waiting in the zone
};

// Input of a plan.
struct CapacityView {
  EngineScaling scaling;
  std::map<std::string, ZoneEngines> engines;  // by zone
  // Engines of these zones receive no new requests and so provide no capacity.
  std::set<std::string> drained_zones;
  Duration warm_up{};  // from an engine's start until it has its full capacity
  // Requests running or waiting at engines. Those in drained zones count, because their successors
  // go to the other zones.
  int64_t requests = 0;
  int64_t slots = 1;  // requests that one engine runs concurrently
};

// Sets the total number of engines of one kind in a zone; existing ones are included.
struct EngineOrder {
  std::string zone;
  EngineKind kind = EngineKind::kFullPrice;
  int64_t engines = 0;

  bool operator==(const EngineOrder&) const = default;
};

enum class OrderOutcome {
  kAccepted,
  kNoCapacity,  // the platform has no engines of this kind available
  kUnknown      // no answer: the order may or may not be carried out
};

// Plans the engines of one service.
class CapacityPlanner {
 public:
  // `first_start`: the whole system starts for the first time. No requests run at the engines yet,
  // so full-price ones may be given up without waiting for the settling time.
  CapacityPlanner(CapacityPolicy policy, bool first_start)
      : policy_(policy), first_start_(first_start) {}

  // Returns the orders to send now. Empty if nothing is to be changed, or if the scaling settings
  // name no zones or contradict each other.
  std::vector<EngineOrder> Plan(const CapacityView& view, TimePoint now);

  void OnOrdered(const EngineOrder& order, OrderOutcome outcome, TimePoint now);

  // Engines wanted in all open zones together, including the reserve. For logs.
  int64_t Wanted() const { return wanted_; }

 private:
  // The last order of one kind in one zone.
  struct OrderState {
    std::optional<int64_t> ordered;  // engines; empty before the first order
    TimePoint ordered_at{};
    bool has_no_capacity = false;  // the platform had no capacity
  };

  struct ZonePlan {
    int64_t full_price = 0;
    int64_t reclaimable = 0;
  };

  double InitialDemand(const EngineScaling& scaling) const;
  bool HasReclaimable(const EngineScaling& scaling) const {
    return policy_.uses_reclaimable && scaling.reclaimable_price > 0;
  }
  int64_t WantedEngines(const CapacityView& view, TimePoint now);
  void TrackDrains(const CapacityView& view, TimePoint now);
  void SetWanted(int64_t wanted, TimePoint now);
  double WarmEquivalent(int64_t engines, int64_t cold) const;
  double ServingCapacity(const CapacityView& view) const;
  bool IsSettled(TimePoint now) const {
    return (first_start_ && !has_seen_load_) || now - *first_plan_ >= policy_.settling_time;
  }
  int64_t WantedFullPrice(const std::string& zone, const ZonePlan& part, const ZoneEngines& present,
                          const CapacityView& view, TimePoint now);
  int64_t WantedReclaimable(const std::string& zone, int64_t planned, int64_t present,
                            double* surplus);
  std::map<std::string, ZonePlan> DistributeOverZones(const CapacityView& view);
  void AddFullPrice(const CapacityView& view, std::map<std::string, ZonePlan>* plan) const;
  void AddOrdersForOpenZones(const CapacityView& view, TimePoint now,
                             std::vector<EngineOrder>* orders);
  void AddOrdersForDrainedZones(const CapacityView& view, TimePoint now,
                                std::vector<EngineOrder>* orders);
  bool MayGiveUp(const std::string& zone, const CapacityView& view, TimePoint now);
  void AddOrder(const std::string& zone, EngineKind kind, int64_t wanted, int64_t present,
                const EngineScaling& scaling, TimePoint now, std::vector<EngineOrder>* orders);
  OrderState& OrderStateFor(const std::string& zone, EngineKind kind);
  bool HasNoCapacity(const std::string& zone);

  CapacityPolicy policy_;
  bool first_start_;
  std::map<std::string, OrderState> full_price_;   // by zone
  std::map<std::string, OrderState> reclaimable_;  // by zone
  std::map<std::string, TimePoint> drained_since_;
  // Engines that the load needs, without the reserve. Rises immediately and decays slowly.
  double demand_ = 0;
  double initial_demand_ = 0;  // initial estimate; decays once load has been seen
  TimePoint demand_updated_at_{};
  TimePoint shrunk_at_{};
  std::optional<TimePoint> first_plan_;
  bool has_seen_load_ = false;
  int64_t wanted_ = 0;
};

}  // namespace cartsail
