#include "support/engine_platform.h"

#include <algorithm>

namespace cartsail::testing {

EnginePlatform::EnginePlatform(EngineScaling scaling, int64_t full_price_in_each_zone)
    : scaling_(std::move(scaling)) {
  for (const ZonePrice& zone : scaling_.zones) {
    const Line line{zone.zone, EngineKind::kFullPrice};
    engines_[line].resize(static_cast<size_t>(full_price_in_each_zone));
    ordered_[line] = full_price_in_each_zone;
  }
}

OrderOutcome EnginePlatform::Order(const EngineOrder& order, TimePoint now) {
  ++orders_;
  if (to_lose_ > 0) {
    --to_lose_;
    return OrderOutcome::kUnknown;
  }
  const Line line{order.zone, order.kind};
  std::vector<Engine>& engines = engines_[line];
  const auto wanted = static_cast<size_t>(order.engines);
  const bool grows = wanted > engines.size();
  if (grows && order.kind == EngineKind::kReclaimable && dry_[order.zone]) {
    return OrderOutcome::kNoneToBeHad;
  }
  ordered_[line] = order.engines;
  const int64_t both = ordered_[{order.zone, EngineKind::kFullPrice}] +
                       ordered_[{order.zone, EngineKind::kReclaimable}];
  most_ordered_ = std::max(most_ordered_, both);
  engines.resize(wanted, Engine{now + scaling_.boot});
  return OrderOutcome::kAccepted;
}

void EnginePlatform::TakeAway(const std::string& zone) {
  engines_[{zone, EngineKind::kReclaimable}].clear();
  ordered_[{zone, EngineKind::kReclaimable}] = 0;
  dry_[zone] = true;
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
    const auto cheap = static_cast<double>(Engines(zone.zone, EngineKind::kReclaimable, now));
    price += zone.price * (full + cheap * scaling_.reclaimable_price);
  }
  return price;
}

CapacityView EnginePlatform::View(int64_t requests, TimePoint now) {
  CapacityView view;
  view.scaling = scaling_;
  view.requests = requests;
  view.slots = 12;
  for (const ZonePrice& zone : scaling_.zones) {
    view.engines[zone.zone] = {Engines(zone.zone, EngineKind::kFullPrice, now),
                               Engines(zone.zone, EngineKind::kReclaimable, now)};
  }
  return view;
}

}  // namespace cartsail::testing
