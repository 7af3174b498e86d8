// The ready back ends of each service, and which of them are set aside for light requests. Kept
// between requests and made anew when the registry changes or some milliseconds have passed. Pure.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/engine_partition.h"
#include "cartsail/dispatch/load_ledger.h"
#include "cartsail/dispatch/pause_model.h"

namespace cartsail {

struct PoolMember {
  const Backend* backend = nullptr;
  bool for_light = false;
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

  // The ready back ends of `service`; valid until the registry changes.
  const std::vector<PoolMember>& Of(const std::string& service, const Inputs& inputs,
                                    TimePoint now);

 private:
  struct Pool {
    std::vector<PoolMember> members;
    int64_t registry_changes = -1;
    TimePoint made;
    LightEngineTarget light_target;
  };

  void Refresh(const std::string& service, const Inputs& inputs, TimePoint now, Pool* pool) const;
  int64_t LightCount(const std::string& service, const Inputs& inputs, TimePoint now,
                     Pool* pool) const;

  PartitionPolicy policy_;
  std::unordered_map<std::string, Pool> pools_;
};

}  // namespace cartsail
