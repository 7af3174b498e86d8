// Faults: engines, nodes, zones, the platform.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet_run.h"

namespace cartsail::emulator {

void Fleet::Apply(const FleetFault& fault) {
  const Duration length = FromSeconds(fault.seconds);
  if (first_fault_ < 0) first_fault_ = fault.at;
  switch (fault.kind) {
    case FleetFault::Kind::kEngineCrash:
      for (int i = 0; i < fault.count; ++i) CrashEngine(i, length);
      break;
    case FleetFault::Kind::kEngineSlow:
      for (int i = 0; i < fault.count; ++i) engines_.Slow(i, fault.speed, length);
      break;
    case FleetFault::Kind::kNodeKill:
      for (int i = 0; i < fault.count; ++i) KillNode(static_cast<size_t>(i), length);
      break;
    case FleetFault::Kind::kZoneCut:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (ZoneName(static_cast<int>(i)) == ZoneName(0)) KillNode(i, length);
      }
      break;
    case FleetFault::Kind::kRestartAll:
      for (size_t i = 0; i < nodes_.size(); ++i) KillNode(i, length);
      break;
    case FleetFault::Kind::kPlatformOut:
      platform_out_ = true;
      events_.After(length, [this] { platform_out_ = false; });
      break;
  }
}

void Fleet::CrashEngine(int index, Duration length) {
  for (const FleetEngines::LostSequence& lost : engines_.Crash(index, length)) {
    const auto found = running_.find(lost.id);
    if (found == running_.end()) continue;
    const RequestPtr request = found->second;
    running_.erase(found);
    if (options_.policy.continuation && options_.policy.owners) {
      request->delivered += lost.generated;
    }
    events_.After(kEngineLatency, [this, request] { AfterCrash(request); });
  }
}

void Fleet::AfterCrash(const RequestPtr& request) {
  if (options_.policy.owners || !request->traffic->repeatable) {
    EngineFailed(request, true);
    return;
  }
  ++retries_;
  events_.After(kBlindRetryPause, [this, request] { Acquire(request, SlotPurpose::kRetry); });
}

void Fleet::KillNode(size_t index, Duration length) {
  if (!IsUp(index)) return;
  up_[index] = 0;
  std::vector<RequestPtr> orphans;
  for (const auto& [id, request] : by_id_) {
    if (request->node == index) orphans.push_back(request);
  }
  std::sort(orphans.begin(), orphans.end(),
            [](const auto& a, const auto& b) { return a->id < b->id; });
  for (const RequestPtr& request : orphans) {
    by_id_.erase(request->id);
    // Streams run on at the engine; their callers resume them through other nodes. What waited
    // comes again.
    const bool running = running_.contains(request->sequence);
    events_.After(kCallerRetryPause, [this, request, running] {
      if (request->done) return;
      if (running) {
        Resume(request);
      } else {
        Enter(request, SlotPurpose::kFirst);
      }
    });
  }
  events_.After(length, [this, index] { StartNode(index, false); });
}

void Fleet::Resume(const RequestPtr& request) {
  std::vector<size_t> ready;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (IsUp(i)) ready.push_back(i);
  }
  if (ready.empty()) {
    events_.After(kCallerRetryPause, [this, request] {
      if (!request->done) Resume(request);
    });
    return;
  }
  request->node = ready[random_() % ready.size()];
  request->id = next_id_++;
  by_id_[request->id] = request;
  WorkItem item;
  item.id = request->id;
  item.tier = request->traffic->tier;
  const std::string& engine = engines_.IdOf(request->engine);
  if (!options_.policy.owners) return;
  nodes_[request->node]->entry.Adopt(request->id, engine, item);
  Announce(request->node, engine);
}

}  // namespace cartsail::emulator
