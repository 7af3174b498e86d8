#include "cartsail/dispatch/service_pools.h"

#include <algorithm>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

constexpr Duration kMinPoolLifetime = milliseconds(10);
// Time for which a large pool is kept, per member: at most 40,000 members are examined a second,
// whatever the size of the pool.
constexpr Duration kPoolLifetimePerMember = std::chrono::microseconds(25);
// An engine whose base pause is longer than the fastest engine's by more than this factor is
// assigned to light requests last, and thus mostly serves heavy ones.
constexpr double kSlowEngineRatio = 1.15;

Duration PoolLifetime(size_t members) {
  return std::max<Duration>(kMinPoolLifetime,
                            static_cast<int64_t>(members) * kPoolLifetimePerMember);
}

}  // namespace

const PoolMember* ServicePool::Find(BackendKey backend) const {
  const auto place = places_.find(backend);
  return place == places_.end() ? nullptr : &members_[place->second];
}

void ServicePool::Replace(std::vector<PoolMember> members) {
  members_ = std::move(members);
  places_.clear();
  for (size_t i = 0; i < members_.size(); ++i) places_[members_[i].key] = i;
}

const ServicePool& ServicePools::Of(const std::string& service, const Inputs& inputs,
                                    TimePoint now) {
  Pool& pool = pools_[service];
  const bool is_expired = now - pool.made > PoolLifetime(pool.ordered.size());
  const bool has_changed = pool.registry_changes != inputs.registry.Changes();
  if (has_changed && (is_expired || pool.ordered.size() <= kSmallPool)) {
    List(service, inputs, &pool);
    Divide(service, inputs, now, &pool);
  } else if (is_expired) {
    Divide(service, inputs, now, &pool);
  }
  return pool.pool;
}

void ServicePools::List(const std::string& service, const Inputs& inputs, Pool* pool) {
  pool->registry_changes = inputs.registry.Changes();
  pool->ordered.clear();
  for (const Backend* backend : inputs.registry.ReadyOf(service)) {
    pool->ordered.push_back({backend->key, Hash64(backend->id), backend->slots});
  }
  std::sort(pool->ordered.begin(), pool->ordered.end(),
            [](const OrderedBackend& left, const OrderedBackend& right) {
              return left.hash < right.hash;
            });
}

// Assigns the first members to light requests; slow engines come last.
void ServicePools::Divide(const std::string& service, const Inputs& inputs, TimePoint now,
                          Pool* pool) {
  pool->made = now;
  examined_ += static_cast<int64_t>(pool->ordered.size());
  const double slow_pause = inputs.pauses.FastestBase() * kSlowEngineRatio;
  const auto is_slow = [&inputs, slow_pause](const OrderedBackend& backend) {
    return inputs.pauses.BasePause(backend.key) > slow_pause;
  };
  const auto light = static_cast<size_t>(LightCount(service, inputs, now, pool));
  std::vector<PoolMember> members;
  members.reserve(pool->ordered.size());
  for (const bool slow : {false, true}) {
    for (const OrderedBackend& backend : pool->ordered) {
      if (is_slow(backend) != slow) continue;
      members.push_back({backend.key, members.size() < light});
    }
  }
  pool->pool.Replace(std::move(members));
}

int64_t ServicePools::LightCount(const std::string& service, const Inputs& inputs, TimePoint now,
                                 Pool* pool) {
  const ServiceWork rates = inputs.work.Total(service, now);
  EngineWork work;
  work.light_ms_per_s = rates.light_ms_per_s;
  work.heavy_ms_per_s = rates.heavy_ms_per_s;
  for (const OrderedBackend& backend : pool->ordered) {
    const BackendLoad load = inputs.loads.Total(backend.key);
    work.light_requests += static_cast<double>(load.light_requests);
    work.heavy_requests += static_cast<double>(load.requests - load.light_requests);
    work.slots = std::max(work.slots, static_cast<double>(backend.slots));
  }
  const auto total = static_cast<int64_t>(pool->ordered.size());
  return pool->light_target.Update(WantedLightEngines(policy_, work, total), total);
}

}  // namespace cartsail
