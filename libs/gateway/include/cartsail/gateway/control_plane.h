// The control thread as the traffic threads see it. Every function may be called from any thread;
// callbacks are called on the control thread.
#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cartsail/claims/claim_batcher.h"
#include "cartsail/config/snapshot.h"
#include "cartsail/net/http_types.h"
#include "cartsail/scheduler/types.h"

namespace cartsail {

using ClassPolicyPtr = std::shared_ptr<const ClassPolicy>;

struct SlotRequest {
  RequestId id = 0;  // new for each request for a slot
  ClassPolicyPtr policy;
  std::string model;         // what a back end must serve
  uint64_t prefix_hash = 0;  // 0: no affinity
  TimePoint arrival{};
  SlotPurpose purpose = SlotPurpose::kFirst;
  std::set<std::string> excluded;    // back ends already tried in vain
  std::function<void()> on_preempt;  // the slot is taken back; called at most once
};

struct SlotDecision {
  absl::Status status;  // OK: granted
  Duration retry_after{};
  bool retry_denied = false;  // purpose kRetry: the budget is used up
  RequestId id = 0;
  std::string engine;
  Endpoint endpoint;
};

class ControlPlane {
 public:
  virtual ~ControlPlane() = default;

  virtual ConfigSnapshotPtr Config() const = 0;

  // False while the node has no configuration.
  virtual bool HasConfig() const = 0;

  virtual void AcquireSlot(SlotRequest request, std::function<void(SlotDecision)> done) = 0;

  // Ends a pending AcquireSlot() with kCancelled.
  virtual void CancelSlot(RequestId id) = 0;

  virtual void ReleaseSlot(RequestId id, SlotEnd end, const ServiceReport& report) = 0;

  // Pairs with an admitted SlotPurpose::kFirst: the tenant's request is over.
  virtual void EndRequest(const std::string& tenant) = 0;

  // Counts a running stream taken over from another node.
  virtual void AdoptSlot(RequestId id, const std::string& engine, const WorkItem& item) = 0;

  virtual void Claim(const std::string& key, const ClaimRecord& record, Duration timeout,
                     std::function<void(ClaimResult)> done) = 0;

  // Withdraws a claim whose attempt will never run, in the background.
  virtual void WithdrawClaim(const std::string& key, const ClaimRecord& record) = 0;

  // Where a back end listens, if it is known.
  virtual void Locate(const std::string& engine,
                      std::function<void(std::optional<Endpoint>)> done) = 0;
};

}  // namespace cartsail
