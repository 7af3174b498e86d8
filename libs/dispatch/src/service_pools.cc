#include "cartsail/dispatch/service_pools.h"

#include <algorithm>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

constexpr Duration kLongestKept = milliseconds(10);
// An engine whose events follow each other that much slower than the fastest one's is kept for
// heavy requests.
constexpr double kSlowEngineRatio = 1.15;

// Where an engine stands in the order that all nodes agree on: the first ones serve light
// requests.
struct OrderedEngine {
  const Backend* backend;
  bool slow;
  uint64_t hash;
};

std::vector<OrderedEngine> InShareOrder(const std::vector<const Backend*>& backends,
                                        const PauseModel& pauses) {
  const double slow_pause = pauses.FastestBase() * kSlowEngineRatio;
  std::vector<OrderedEngine> ordered;
  ordered.reserve(backends.size());
  for (const Backend* backend : backends) {
    const bool slow = pauses.BasePause(backend->key) > slow_pause;
    ordered.push_back({backend, slow, Hash64(backend->id)});
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const OrderedEngine& left, const OrderedEngine& right) {
              if (left.slow != right.slow) return right.slow;
              return left.hash < right.hash;
            });
  return ordered;
}

}  // namespace

const std::vector<PoolMember>& ServicePools::Of(const std::string& service, const Inputs& inputs,
                                                TimePoint now) {
  Pool& pool = pools_[service];
  const bool changed = pool.registry_changes != inputs.registry.Changes();
  if (changed || now - pool.made > kLongestKept) Refresh(service, inputs, now, &pool);
  return pool.members;
}

void ServicePools::Refresh(const std::string& service, const Inputs& inputs, TimePoint now,
                           Pool* pool) const {
  if (pool->registry_changes != inputs.registry.Changes()) {
    pool->members.clear();
    for (const Backend* backend : inputs.registry.ReadyOf(service)) {
      pool->members.push_back({backend, false});
    }
    pool->registry_changes = inputs.registry.Changes();
  }
  pool->made = now;
  std::vector<const Backend*> backends;
  backends.reserve(pool->members.size());
  for (const PoolMember& member : pool->members) backends.push_back(member.backend);

  const auto light = static_cast<size_t>(LightCount(service, inputs, now, pool));
  const std::vector<OrderedEngine> ordered = InShareOrder(backends, inputs.pauses);
  pool->members.clear();
  for (size_t i = 0; i < ordered.size(); ++i) {
    pool->members.push_back({ordered[i].backend, i < light});
  }
}

int64_t ServicePools::LightCount(const std::string& service, const Inputs& inputs, TimePoint now,
                                 Pool* pool) const {
  const ServiceWork rates = inputs.work.Total(service, now);
  EngineWork work;
  work.light_ms_per_s = rates.light_ms_per_s;
  work.heavy_ms_per_s = rates.heavy_ms_per_s;
  for (const PoolMember& member : pool->members) {
    const BackendLoad load = inputs.loads.Total(member.backend->key);
    work.light_requests += static_cast<double>(load.light_requests);
    work.heavy_requests += static_cast<double>(load.requests - load.light_requests);
    work.slots = std::max(work.slots, static_cast<double>(member.backend->slots));
  }
  const auto total = static_cast<int64_t>(pool->members.size());
  return pool->light_target.Update(WantedLightEngines(policy_, work, total), total);
}

}  // namespace cartsail
