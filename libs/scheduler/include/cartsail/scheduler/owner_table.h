// The queues of all engines that a node owns. Pure: the same code runs in the daemon and on the
// virtual fleet.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cartsail/scheduler/engine_queue.h"
#include "cartsail/scheduler/types.h"

namespace cartsail {

// A queue's decision, with the engine it is about.
struct OwnerAction {
  std::string engine;
  QueueAction action;
};

using OwnerActions = std::vector<OwnerAction>;

struct OwnedDigest {
  std::string engine;
  QueueDigest digest;
};

class OwnerTable {
 public:
  explicit OwnerTable(EngineQueuePolicy policy) : policy_(policy) {}

  // Time after a take-over during which running grants are announced and none is given.
  static constexpr Duration kTakeOverHold = milliseconds(300);

  // Sets the engines owned from now on. Queues of engines no longer owned reject what waits with
  // kNotOwner; queues of new ones hold their grants for kTakeOverHold.
  OwnerActions SetOwned(const std::vector<std::string>& engines, TimePoint now);

  // The policy for all queues, present and future.
  void SetPolicy(const EngineQueuePolicy& policy);

  // An engine leaves: rejects what waits and whatever comes.
  OwnerActions SetLeaving(const std::string& engine);

  // An unowned engine is answered with a rejection, kNotOwner.
  OwnerActions Submit(const std::string& engine, const WorkItem& item, TimePoint now);
  OwnerActions Release(const std::string& engine, RequestId id, const ServiceReport& report,
                       TimePoint now);
  OwnerActions Cancel(const std::string& engine, RequestId id, TimePoint now);
  OwnerActions Announce(const std::string& engine, const std::string& node,
                        const std::vector<WorkItem>& running, TimePoint now);
  OwnerActions DropNode(const std::string& node, TimePoint now);
  OwnerActions Tick(TimePoint now);

  bool Owns(const std::string& engine) const { return queues_.contains(engine); }
  std::vector<OwnedDigest> Digests(TimePoint now) const;
  QueueDigest DigestOf(const std::string& engine, TimePoint now) const;
  size_t Size() const { return queues_.size(); }

 private:
  EngineQueue* Find(const std::string& engine);

  EngineQueuePolicy policy_;
  std::map<std::string, std::unique_ptr<EngineQueue>> queues_;
};

}  // namespace cartsail
