#include "cartsail/duties/capacity_planner.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

ZoneEngines EnginesInZone(const CapacityView& view, const std::string& zone) {
  const auto found = view.engines.find(zone);
  return found == view.engines.end() ? ZoneEngines() : found->second;
}

// Zones that are not drained, which may receive more engines.
std::vector<ZonePrice> OpenZones(const CapacityView& view) {
  std::vector<ZonePrice> zones = view.scaling.zones;
  std::erase_if(zones,
                [&view](const ZonePrice& zone) { return view.drained_zones.contains(zone.zone); });
  return zones;
}

}  // namespace

CapacityPlanner::OrderState& CapacityPlanner::OrderStateFor(const std::string& zone,
                                                            EngineKind kind) {
  return kind == EngineKind::kReclaimable ? reclaimable_[zone] : full_price_[zone];
}

bool CapacityPlanner::HasNoCapacity(const std::string& zone) {
  return OrderStateFor(zone, EngineKind::kReclaimable).has_no_capacity;
}

// With the reserve, it costs `first_cost_share` of what the maximum costs at the full price.
double CapacityPlanner::InitialDemand(const EngineScaling& scaling) const {
  const auto most = static_cast<double>(scaling.most) * static_cast<double>(scaling.zones.size());
  const double price = HasReclaimable(scaling) ? scaling.reclaimable_price : 1;
  return most * std::min(policy_.first_cost_share / price, 1.0) / std::max(policy_.reserve, 1.0);
}

// The decaying maximum of the demand, times the reserve.
int64_t CapacityPlanner::WantedEngines(const CapacityView& view, TimePoint now) {
  const auto zones = static_cast<int64_t>(OpenZones(view).size());
  const int64_t least = std::max<int64_t>(view.scaling.least, 0) * zones;
  const int64_t most = view.scaling.most * zones;
  const double slots = static_cast<double>(std::max<int64_t>(view.slots, 1));
  const double needed = static_cast<double>(view.requests) / (slots * policy_.target_utilization);
  has_seen_load_ = has_seen_load_ || view.requests > 0;
  const double elapsed = has_seen_load_ ? ToSeconds(now - demand_updated_at_) : 0;
  const double decay = std::exp2(-elapsed / ToSeconds(policy_.demand_half_life));
  demand_ = std::max(needed, demand_ * decay);
  initial_demand_ *= decay;
  demand_updated_at_ = now;
  const double wanted = std::ceil(std::max(demand_, initial_demand_) * policy_.reserve);
  return std::clamp(static_cast<int64_t>(wanted), least, most);
}

// Distributes the engines evenly over the zones, so that losing one zone costs the least capacity.
// What is unavailable in one zone is ordered in the others.
std::map<std::string, CapacityPlanner::ZonePlan> CapacityPlanner::DistributeOverZones(
    const CapacityView& view) {
  const EngineScaling& scaling = view.scaling;
  const bool has_reclaimable = HasReclaimable(scaling);
  std::map<std::string, ZonePlan> plan;
  int64_t left = wanted_;
  std::vector<std::string> open;  // zones with reclaimable capacity
  for (const ZonePrice& zone : OpenZones(view)) {
    ZonePlan& part = plan[zone.zone];
    part.full_price = std::min(policy_.full_price_base, scaling.most);
    left -= part.full_price;
    if (!has_reclaimable) continue;
    if (!HasNoCapacity(zone.zone)) {
      open.push_back(zone.zone);
      continue;
    }
    part.reclaimable = EnginesInZone(view, zone.zone).reclaimable;
    left -= part.reclaimable;
  }
  auto zones_left = static_cast<int64_t>(open.size());
  for (const std::string& zone : open) {
    ZonePlan& part = plan[zone];
    const int64_t share = std::max<int64_t>(left + zones_left - 1, 0) / zones_left;
    part.reclaimable = std::min(share, scaling.most - part.full_price);
    left -= part.reclaimable;
    --zones_left;
  }
  AddFullPrice(view, &plan);
  return plan;
}

// Makes up for missing reclaimable engines with full-price ones, in the cheapest zones first.
void CapacityPlanner::AddFullPrice(const CapacityView& view,
                                   std::map<std::string, ZonePlan>* plan) const {
  int64_t left = HasReclaimable(view.scaling)
                     ? static_cast<int64_t>(std::ceil(demand_ * policy_.full_price_reserve))
                     : wanted_;
  for (const auto& [zone, part] : *plan) left -= part.full_price + part.reclaimable;
  std::vector<ZonePrice> by_price = OpenZones(view);
  std::sort(by_price.begin(), by_price.end(),
            [](const ZonePrice& a, const ZonePrice& b) { return a.price < b.price; });
  for (const ZonePrice& zone : by_price) {
    if (left <= 0) return;
    ZonePlan& part = (*plan)[zone.zone];
    // One place stays free so that a reclaimable engine can still be ordered.
    const int64_t room = view.scaling.most - part.full_price - part.reclaimable;
    const int64_t more = std::min(left, HasReclaimable(view.scaling) ? room - 1 : room);
    if (more <= 0) continue;
    part.full_price += more;
    left -= more;
  }
}

void CapacityPlanner::AddOrder(const std::string& zone, EngineKind kind, int64_t wanted,
                               int64_t present, const EngineScaling& scaling, TimePoint now,
                               std::vector<EngineOrder>* orders) {
  const OrderState& state = OrderStateFor(zone, kind);
  if (state.has_no_capacity) {
    // Probes the zone periodically by ordering one engine more than it has.
    if (now - state.ordered_at < policy_.no_capacity_backoff) return;
    orders->push_back({zone, kind, present + 1});
    return;
  }
  const bool is_late = now - state.ordered_at >= scaling.boot + policy_.reorder_margin;
  const bool is_same = state.ordered == wanted;
  // Nothing has been ordered yet and the present number is right.
  if (!state.ordered.has_value() && present == wanted) return;
  if (is_same && (present == wanted || !is_late)) return;
  orders->push_back({zone, kind, wanted});
}

// Full-price engines stay until the reclaimable ones that replace them serve, as far as the load
// needs them. Where both kinds together would exceed the zone's maximum, some are given up to make
// room for reclaimable ones.
int64_t CapacityPlanner::WantedFullPrice(const std::string& zone, const ZonePlan& part,
                                         const ZoneEngines& present, const CapacityView& view,
                                         TimePoint now) {
  const EngineScaling& scaling = view.scaling;
  const auto capacity =
      static_cast<int64_t>(WarmEquivalent(present.reclaimable, present.cold_reclaimable));
  int64_t kept = part.full_price + part.reclaimable - capacity;
  if (IsSettled(now)) {
    const auto zones = static_cast<int64_t>(OpenZones(view).size());
    const auto needed = static_cast<int64_t>(std::ceil(demand_ * policy_.full_price_reserve));
    kept = std::min(kept, (needed + zones - 1) / zones - capacity);
    const int64_t starting =
        OrderStateFor(zone, EngineKind::kReclaimable).ordered.value_or(0) - present.reclaimable;
    const bool lacks_room = present.full_price + part.reclaimable > scaling.most;
    if (lacks_room && starting <= 0 && !HasNoCapacity(zone)) {
      const double step = policy_.replacement_step_share * static_cast<double>(scaling.most);
      kept = std::min(kept, present.full_price - static_cast<int64_t>(std::ceil(step)));
    }
  }
  kept = std::clamp<int64_t>(kept, 0, present.full_price);
  return std::max(part.full_price, kept);
}

// Forgets at the start of a drain that a zone had no capacity: the answer would be outdated after
// the drain and would keep the restored zone empty.
void CapacityPlanner::TrackDrains(const CapacityView& view, TimePoint now) {
  for (const std::string& zone : view.drained_zones) {
    const bool is_new = drained_since_.try_emplace(zone, now).second;
    if (is_new) OrderStateFor(zone, EngineKind::kReclaimable).has_no_capacity = false;
  }
  std::erase_if(drained_since_,
                [&view](const auto& entry) { return !view.drained_zones.contains(entry.first); });
}

void CapacityPlanner::SetWanted(int64_t wanted, TimePoint now) {
  const bool may_shrink = now - shrunk_at_ >= policy_.shrink_interval;
  if (wanted <= wanted_ && !may_shrink) return;
  if (wanted < wanted_) shrunk_at_ = now;
  wanted_ = wanted;
}

double CapacityPlanner::WarmEquivalent(int64_t engines, int64_t cold) const {
  const auto warm = static_cast<double>(engines - cold);
  return warm + static_cast<double>(cold) * policy_.cold_engine_weight;
}

// Capacity of the engines in zones that are not drained, in warm engines.
double CapacityPlanner::ServingCapacity(const CapacityView& view) const {
  double capacity = 0;
  for (const ZonePrice& zone : OpenZones(view)) {
    const ZoneEngines present = EnginesInZone(view, zone.zone);
    capacity += WarmEquivalent(present.full_price, present.cold_full_price);
    capacity += WarmEquivalent(present.reclaimable, present.cold_reclaimable);
  }
  return capacity;
}

// Gives up reclaimable engines only from the surplus of present capacity over what is wanted. So
// engines that replaced those of a drained zone stay until the zone's own have started and warmed
// up. A new holder, which does not know of the ended drain, keeps them as well.
int64_t CapacityPlanner::WantedReclaimable(const std::string& zone, int64_t planned,
                                           int64_t present, double* surplus) {
  if (planned >= present) return planned;
  const auto fewer = static_cast<double>(present - planned);
  if (fewer <= *surplus) {
    *surplus -= fewer;
    return planned;
  }
  const std::optional<int64_t> ordered = OrderStateFor(zone, EngineKind::kReclaimable).ordered;
  return std::max(planned, ordered.value_or(present));
}

void CapacityPlanner::AddOrdersForOpenZones(const CapacityView& view, TimePoint now,
                                            std::vector<EngineOrder>* orders) {
  const EngineScaling& scaling = view.scaling;
  double surplus = ServingCapacity(view) - static_cast<double>(wanted_);
  for (const auto& [zone, part] : DistributeOverZones(view)) {
    const ZoneEngines present = EnginesInZone(view, zone);
    const int64_t full_price = WantedFullPrice(zone, part, present, view, now);
    const int64_t room = std::max<int64_t>(scaling.most - full_price, 0);
    const int64_t reclaimable =
        WantedReclaimable(zone, part.reclaimable, present.reclaimable, &surplus);
    AddOrder(zone, EngineKind::kFullPrice, full_price, present.full_price, scaling, now, orders);
    AddOrder(zone, EngineKind::kReclaimable, std::min(reclaimable, room), present.reclaimable,
             scaling, now, orders);
  }
}

// Engines of a drained zone may be given up if they are idle, the drain has lasted long enough, and
// no other zone lacks capacity: if one does, engines given up here might not be available again.
bool CapacityPlanner::MayGiveUp(const std::string& zone, const CapacityView& view, TimePoint now) {
  if (EnginesInZone(view, zone).requests > 0) return false;
  const double start = ToSeconds(view.scaling.boot + view.warm_up);
  if (ToSeconds(now - drained_since_[zone]) < policy_.drain_hold_factor * start) return false;
  const std::vector<ZonePrice> open = OpenZones(view);
  return std::none_of(open.begin(), open.end(),
                      [this](const ZonePrice& other) { return HasNoCapacity(other.zone); });
}

// Only reduces: engines ordered for a drained zone cost money and serve nothing.
void CapacityPlanner::AddOrdersForDrainedZones(const CapacityView& view, TimePoint now,
                                               std::vector<EngineOrder>* orders) {
  const EngineScaling& scaling = view.scaling;
  for (const ZonePrice& zone : scaling.zones) {
    if (!view.drained_zones.contains(zone.zone) || !MayGiveUp(zone.zone, view, now)) continue;
    const ZoneEngines present = EnginesInZone(view, zone.zone);
    const int64_t base = std::min(policy_.full_price_base, scaling.most);
    const int64_t full_price = std::min(present.full_price, base);
    const int64_t reclaimable =
        std::clamp<int64_t>(scaling.least - full_price, 0, present.reclaimable);
    if (full_price < present.full_price) {
      AddOrder(zone.zone, EngineKind::kFullPrice, full_price, present.full_price, scaling, now,
               orders);
    }
    if (reclaimable < present.reclaimable) {
      AddOrder(zone.zone, EngineKind::kReclaimable, reclaimable, present.reclaimable, scaling, now,
               orders);
    }
  }
}

std::vector<EngineOrder> CapacityPlanner::Plan(const CapacityView& view, TimePoint now) {
  const EngineScaling& scaling = view.scaling;
  if (scaling.zones.empty() || scaling.least > scaling.most) return {};
  if (!first_plan_.has_value()) {
    first_plan_ = now;
    initial_demand_ = InitialDemand(scaling);
    demand_updated_at_ = now;
  }
  TrackDrains(view, now);
  const int64_t wanted = WantedEngines(view, now);
  if (!has_seen_load_ && !IsSettled(now)) return {};
  SetWanted(wanted, now);
  std::vector<EngineOrder> orders;
  AddOrdersForOpenZones(view, now, &orders);
  AddOrdersForDrainedZones(view, now, &orders);
  return orders;
}

void CapacityPlanner::OnOrdered(const EngineOrder& order, OrderOutcome outcome, TimePoint now) {
  OrderState& state = OrderStateFor(order.zone, order.kind);
  if (outcome != OrderOutcome::kUnknown)
    state.has_no_capacity = outcome == OrderOutcome::kNoCapacity;
  state.ordered = order.engines;
  state.ordered_at = now;
}

}  // namespace cartsail
