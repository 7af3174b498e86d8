// One hollow node of the virtual fleet: the pure parts of a daemon, without sockets and threads.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "cartsail/claims/claim_batcher.h"
#include "cartsail/membership/member_table.h"
#include "cartsail/scheduler/entry_scheduler.h"
#include "cartsail/scheduler/owner_table.h"

namespace cartsail::emulator {

struct HollowNode {
  HollowNode(const std::string& node_id, const std::string& node_zone,
             const EngineQueuePolicy& queue_policy, const SelectorPolicy& selector_policy,
             uint64_t seed, TimePoint now)
      : id(node_id),
        zone(node_zone),
        entry(node_id, selector_policy, seed),
        owned(queue_policy),
        members({.self = node_id, .zone = node_zone}, now) {}

  std::string id;
  std::string zone;
  EntryScheduler entry;
  OwnerTable owned;
  MemberTable members;
  ClaimBatcher claims;
  uint64_t claim_timer = 0;
  uint64_t heartbeats = 0;

  // engine -> owner, as this node sees it.
  std::unordered_map<std::string, std::string> owners;
  // ask -> node that was asked.
  std::unordered_map<uint64_t, std::string> asked;
  // request -> number of the ask that waits at this node's own queue or another's.
  std::unordered_map<RequestId, uint64_t> ask_of;

  // Baseline: load of every engine from its last report, and own sends since.
  std::unordered_map<std::string, double> reported_load;
};

}  // namespace cartsail::emulator
