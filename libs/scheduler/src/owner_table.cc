#include "cartsail/scheduler/owner_table.h"

#include <set>

namespace cartsail {
namespace {

void Append(const std::string& engine, QueueActions actions, OwnerActions* out) {
  for (QueueAction& action : actions) out->push_back({engine, std::move(action)});
}

OwnerActions Wrap(const std::string& engine, QueueActions actions) {
  OwnerActions out;
  Append(engine, std::move(actions), &out);
  return out;
}

}  // namespace

EngineQueue* OwnerTable::Find(const std::string& engine) {
  const auto found = queues_.find(engine);
  return found == queues_.end() ? nullptr : found->second.get();
}

OwnerActions OwnerTable::SetOwned(const std::vector<std::string>& engines, TimePoint now) {
  OwnerActions out;
  const std::set<std::string> owned(engines.begin(), engines.end());
  for (auto entry = queues_.begin(); entry != queues_.end();) {
    if (owned.contains(entry->first)) {
      ++entry;
      continue;
    }
    Append(entry->first, entry->second->Close(RejectReason::kNotOwner), &out);
    entry = queues_.erase(entry);
  }
  for (const std::string& engine : owned) {
    if (queues_.contains(engine)) continue;
    auto queue = std::make_unique<EngineQueue>(policy_, now);
    queue->HoldUntil(now + kTakeOverHold);
    queues_.emplace(engine, std::move(queue));
  }
  return out;
}

void OwnerTable::SetPolicy(const EngineQueuePolicy& policy) {
  policy_ = policy;
  for (auto& [engine, queue] : queues_) queue->SetPolicy(policy);
}

OwnerActions OwnerTable::SetLeaving(const std::string& engine) {
  EngineQueue* queue = Find(engine);
  if (queue == nullptr) return {};
  return Wrap(engine, queue->Close(RejectReason::kLeaving));
}

OwnerActions OwnerTable::Submit(const std::string& engine, const WorkItem& item, TimePoint now) {
  EngineQueue* queue = Find(engine);
  if (queue != nullptr) return Wrap(engine, queue->Submit(item, now));
  return Wrap(engine, {{QueueAction::Kind::kReject, item.id, item.node, RejectReason::kNotOwner,
                        Duration(0)}});
}

OwnerActions OwnerTable::Release(const std::string& engine, RequestId id,
                                 const ServiceReport& report, TimePoint now) {
  EngineQueue* queue = Find(engine);
  if (queue == nullptr) return {};
  return Wrap(engine, queue->Release(id, report, now));
}

OwnerActions OwnerTable::Cancel(const std::string& engine, RequestId id, TimePoint now) {
  EngineQueue* queue = Find(engine);
  if (queue == nullptr) return {};
  return Wrap(engine, queue->Cancel(id, now));
}

OwnerActions OwnerTable::Announce(const std::string& engine, const std::string& node,
                                  const std::vector<WorkItem>& running, TimePoint now) {
  EngineQueue* queue = Find(engine);
  if (queue == nullptr) return {};
  return Wrap(engine, queue->Announce(node, running, now));
}

OwnerActions OwnerTable::DropNode(const std::string& node, TimePoint now) {
  OwnerActions out;
  for (auto& [engine, queue] : queues_) Append(engine, queue->DropNode(node, now), &out);
  return out;
}

OwnerActions OwnerTable::Tick(TimePoint now) {
  OwnerActions out;
  for (auto& [engine, queue] : queues_) {
    if (queue->Waiting() > 0) Append(engine, queue->Tick(now), &out);
  }
  return out;
}

std::vector<OwnedDigest> OwnerTable::Digests(TimePoint now) const {
  std::vector<OwnedDigest> digests;
  for (const auto& [engine, queue] : queues_) digests.push_back({engine, queue->Digest(now)});
  return digests;
}

QueueDigest OwnerTable::DigestOf(const std::string& engine, TimePoint now) const {
  const auto found = queues_.find(engine);
  return found == queues_.end() ? QueueDigest() : found->second->Digest(now);
}

}  // namespace cartsail
