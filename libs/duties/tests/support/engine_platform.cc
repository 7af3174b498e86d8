#include "support/engine_platform.h"

#include <algorithm>

namespace cartsail::testing {

EnginePlatform::EnginePlatform(EngineScaling scaling, int64_t full_price_in_each_zone)
    : scaling_(std::move(scaling)) {
  for (const ZonePrice& zone : scaling_.zones) {
    const EngineGroup group{zone.zone, EngineKind::kFullPrice};
    engines_[group].resize(static_cast<size_t>(full_price_in_each_zone));
    ordered_[group] = full_price_in_each_zone;
  }
}

OrderOutcome EnginePlatform::Order(const EngineOrder& order, TimePoint now) {
  ++orders_;
  if (to_drop_ > 0) {
    --to_drop_;
    return OrderOutcome::kUnknown;
  }
  const size_t present = engines_[{order.zone, order.kind}].size();
  const bool grows = static_cast<size_t>(order.engines) > present;
  if (grows && drained_.contains(order.zone)) ++orders_into_drained_;
  if (to_delay_ > 0) {
    --to_delay_;
    delayed_.push_back({order, now + delay_});
    return OrderOutcome::kUnknown;
  }
  if (grows && order.kind == EngineKind::kReclaimable && no_capacity_[order.zone]) {
    return OrderOutcome::kNoCapacity;
  }
  Execute(order, now);
  return OrderOutcome::kAccepted;
}

void EnginePlatform::Execute(const EngineOrder& order, TimePoint now) {
  const EngineGroup group{order.zone, order.kind};
  ordered_[group] = order.engines;
  const int64_t both = ordered_[{order.zone, EngineKind::kFullPrice}] +
                       ordered_[{order.zone, EngineKind::kReclaimable}];
  max_ordered_ = std::max(max_ordered_, both);
  const TimePoint ready = now + scaling_.boot;
  engines_[group].resize(static_cast<size_t>(order.engines), Engine{ready, ready + warm_up_});
}

void EnginePlatform::DelayNext(int orders, Duration delay) {
  to_delay_ = orders;
  delay_ = delay;
}

void EnginePlatform::Advance(TimePoint now) {
  for (const DelayedOrder& delayed : delayed_) {
    if (delayed.due <= now) Execute(delayed.order, now);
  }
  std::erase_if(delayed_, [now](const DelayedOrder& delayed) { return delayed.due <= now; });
}

void EnginePlatform::Restore(const std::string& zone, TimePoint now) {
  drained_.erase(zone);
  for (auto& [group, engines] : engines_) {
    if (group.first != zone) continue;
    for (Engine& engine : engines) engine.warm = std::max(engine.ready, now) + warm_up_;
  }
}

void EnginePlatform::ReclaimAll(const std::string& zone) {
  engines_[{zone, EngineKind::kReclaimable}].clear();
  ordered_[{zone, EngineKind::kReclaimable}] = 0;
  no_capacity_[zone] = true;
}

int64_t EnginePlatform::Engines(const std::string& zone, EngineKind kind, TimePoint now) {
  const std::vector<Engine>& engines = engines_[{zone, kind}];
  return std::count_if(engines.begin(), engines.end(),
                       [now](const Engine& engine) { return engine.ready <= now; });
}

int64_t EnginePlatform::Engines(TimePoint now) {
  int64_t sum = 0;
  for (const ZonePrice& zone : scaling_.zones) {
    sum += Engines(zone.zone, EngineKind::kFullPrice, now);
    sum += Engines(zone.zone, EngineKind::kReclaimable, now);
  }
  return sum;
}

double EnginePlatform::Price(TimePoint now) {
  double price = 0;
  for (const ZonePrice& zone : scaling_.zones) {
    const auto full = static_cast<double>(Engines(zone.zone, EngineKind::kFullPrice, now));
    const auto reclaimable = static_cast<double>(Engines(zone.zone, EngineKind::kReclaimable, now));
    price += zone.price * (full + reclaimable * scaling_.reclaimable_price);
  }
  return price;
}

CapacityView EnginePlatform::View(int64_t requests, TimePoint now) {
  CapacityView view;
  view.scaling = scaling_;
  view.requests = requests;
  view.slots = 12;
  view.warm_up = warm_up_;
  view.drained_zones = drained_;
  for (const ZonePrice& zone : scaling_.zones) {
    ZoneEngines& engines = view.engines[zone.zone];
    engines.full_price = Engines(zone.zone, EngineKind::kFullPrice, now);
    engines.reclaimable = Engines(zone.zone, EngineKind::kReclaimable, now);
    engines.cold_full_price = engines.full_price - Warm(zone.zone, EngineKind::kFullPrice, now);
    engines.cold_reclaimable = engines.reclaimable - Warm(zone.zone, EngineKind::kReclaimable, now);
    engines.requests = running_[zone.zone];
  }
  return view;
}

int64_t EnginePlatform::Warm(const std::string& zone, EngineKind kind, TimePoint now) const {
  const auto found = engines_.find({zone, kind});
  if (found == engines_.end()) return 0;
  return std::count_if(found->second.begin(), found->second.end(),
                       [now](const Engine& engine) { return engine.warm <= now; });
}

int64_t EnginePlatform::WarmServing(TimePoint now) const {
  int64_t sum = 0;
  for (const ZonePrice& zone : scaling_.zones) {
    if (drained_.contains(zone.zone)) continue;
    sum += Warm(zone.zone, EngineKind::kFullPrice, now);
    sum += Warm(zone.zone, EngineKind::kReclaimable, now);
  }
  return sum;
}

}  // namespace cartsail::testing
