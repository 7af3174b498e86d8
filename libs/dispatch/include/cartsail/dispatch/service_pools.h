// The ready back ends of each service, and which of them are set aside for light requests. Kept
// between requests; what a pool costs in a second does not grow with it. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/engine_partition.h"
#include "cartsail/dispatch/load_ledger.h"
#include "cartsail/dispatch/pause_model.h"

namespace cartsail {

// A pool that has no more members is made anew with each change of the registry, and weighed as a
// whole for each request.
inline constexpr size_t kSmallPool = 256;

struct PoolMember {
  BackendKey key = 0;
  bool for_light = false;
};

// Those set aside for light requests come first. A large pool may name back ends that have gone or
// begun to leave meanwhile.
class ServicePool {
 public:
  const std::vector<PoolMember>& Members() const { return members_; }
  size_t Size() const { return members_.size(); }

  // nullptr when `backend` is not a member.
  const PoolMember* Find(BackendKey backend) const;

  void Replace(std::vector<PoolMember> members);

 private:
  std::vector<PoolMember> members_;
  std::unordered_map<BackendKey, size_t> places_;  // in `members_`
};

class ServicePools {
 public:
  // What a pool is made from. The parts outlive the pools.
  struct Inputs {
    const BackendRegistry& registry;
    const PauseModel& pauses;
    const LoadLedger& loads;
    const ServiceWorkView& work;
  };

  explicit ServicePools(PartitionPolicy policy) : policy_(policy) {}

  const ServicePool& Of(const std::string& service, const Inputs& inputs, TimePoint now);

  // Back ends that were looked at to make pools.
  int64_t ExaminedBackends() const { return looked_; }

 private:
  // All nodes agree on the order: by the hash of the id.
  struct OrderedBackend {
    BackendKey key = 0;
    uint64_t hash = 0;
    int64_t slots = 1;
  };

  struct Pool {
    ServicePool pool;
    std::vector<OrderedBackend> ordered;
    int64_t registry_changes = -1;
    TimePoint made;
    LightEngineTarget light_target;
  };

  void List(const std::string& service, const Inputs& inputs, Pool* pool);
  void Divide(const std::string& service, const Inputs& inputs, TimePoint now, Pool* pool);
  int64_t LightCount(const std::string& service, const Inputs& inputs, TimePoint now, Pool* pool);

  PartitionPolicy policy_;
  std::unordered_map<std::string, Pool> pools_;
  int64_t looked_ = 0;
};

}  // namespace cartsail
