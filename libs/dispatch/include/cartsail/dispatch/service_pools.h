// The ready back ends of each service, and which of them are reserved for light requests. Pools are
// cached between requests; the cost of maintaining one per second does not grow with its size.
// Performs no I/O.
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

// Largest pool that is rebuilt on each change of the registry and evaluated as a whole for each
// request.
inline constexpr size_t kSmallPool = 256;

struct PoolMember {
  BackendKey key = 0;
  bool for_light = false;
};

// Members reserved for light requests come first. A large pool may contain back ends that have been
// removed or begun to leave meanwhile.
class ServicePool {
 public:
  const std::vector<PoolMember>& Members() const { return members_; }
  size_t Size() const { return members_.size(); }

  // nullptr when `backend` is not a member.
  const PoolMember* Find(BackendKey backend) const;

  void Replace(std::vector<PoolMember> members);

 private:
  std::vector<PoolMember> members_;
  std::unordered_map<BackendKey, size_t> places_;  // index in `members_`
};

class ServicePools {
 public:
  // The inputs from which a pool is built; used during the call only.
  struct Inputs {
    const BackendRegistry& registry;
    const PauseModel& pauses;
    const LoadLedger& loads;
    const ServiceWorkView& work;
  };

  explicit ServicePools(PartitionPolicy policy) : policy_(policy) {}

  const ServicePool& Of(const std::string& service, const Inputs& inputs, TimePoint now);

  // Number of back ends examined so far to build pools.
  int64_t ExaminedBackends() const { return examined_; }

 private:
  // Ordered by the hash of the id, so that all nodes agree on the order.
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
  int64_t examined_ = 0;
};

}  // namespace cartsail
