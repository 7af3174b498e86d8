// The entry node's side of getting a slot: limits, choice of engine, asking its owner, trying
// elsewhere, giving up. Pure: the same code runs in the daemon and on the virtual fleet.
//
// A request asks one owner at a time. It is given up only when every engine at which it could
// displace a lower tier has refused it. Each ask has a number: an answer to an earlier ask (of an
// owner that was lost meanwhile) is recognised, and a slot granted that way is returned.
#pragma once

#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/scheduler/engine_selector.h"
#include "cartsail/scheduler/limits.h"
#include "cartsail/scheduler/types.h"

namespace cartsail {

// A request for a slot as its entry node describes it.
struct EntryRequest {
  RequestId id = 0;
  std::string tenant;
  std::string class_key;  // retry budgets are per class
  std::string model;
  int tier = 0;
  Duration max_wait{};
  Duration ttft_target{};
  bool preemptible = false;
  uint64_t prefix_hash = 0;
  TimePoint arrival{};
  SlotPurpose purpose = SlotPurpose::kFirst;
  double retry_ratio = 0;
  TenantLimiter::Limits limits;
  std::set<std::string> excluded;
};

enum class EntryRefusal {
  kUnknownModel,
  kNoBackend,
  kRateLimited,
  kRetryDenied,
  kOverloaded,
  kQueueTimeout,
};

struct EntryAction {
  enum class Kind {
    kAsk,       // ask the owner of `engine` for `item`; answer with OnReply(ask)
    kWithdraw,  // tell the node asked last that the request no longer waits
    kGranted,   // the slot is held: tell the requester
    kRefused,   // tell the requester
    kRelease,   // tell the owner of `engine` that the slot is free
    kReturn,    // tell the node that was asked as `ask` that its grant is not used
  };
  Kind kind = Kind::kAsk;
  RequestId id = 0;
  uint64_t ask = 0;
  std::string engine;
  WorkItem item;                                     // kAsk
  EntryRefusal refusal = EntryRefusal::kOverloaded;  // kRefused
  Duration retry_after{};                            // kRefused
  ServiceReport report;                              // kRelease
};

using EntryActions = std::vector<EntryAction>;

// The owner's answer to an ask.
struct AskReply {
  bool reached = true;  // false: the owner could not be asked
  bool granted = false;
  RejectReason reason = RejectReason::kOverloaded;
  Duration retry_after{};
  QueueDigest digest;
  bool has_digest = false;
};

class EntryScheduler {
 public:
  EntryScheduler(std::string node, SelectorPolicy policy, uint64_t seed);

  EngineSelector& Selector() { return selector_; }
  const EngineSelector& Selector() const { return selector_; }

  EntryActions Acquire(const EntryRequest& request, TimePoint now);
  EntryActions OnReply(RequestId id, uint64_t ask, const AskReply& reply, TimePoint now);

  // The requester has gone; no kRefused follows.
  EntryActions Cancel(RequestId id);

  EntryActions Release(RequestId id, SlotEnd end, const ServiceReport& report, TimePoint now);

  // The owner of these engines has changed: what waits there is asked again.
  EntryActions OnOwnerChanged(const std::string& engine, TimePoint now);

  // A running stream taken over from another node.
  void Adopt(RequestId id, const std::string& engine, const WorkItem& item);

  // Grants of `engine` held through this node, for announcing to a new owner.
  std::vector<WorkItem> RunningAt(const std::string& engine) const;
  // All engines with grants or asks of this node.
  std::set<std::string> EnginesInUse() const;

  void EndRequest(const std::string& tenant) { limiter_.Release(tenant); }
  void Sweep(TimePoint now) { limiter_.Sweep(now); }
  size_t Pending() const { return entries_.size(); }
  bool IsRunning(RequestId id) const;

 private:
  struct Entry {
    EntryRequest request;
    std::string engine;
    uint64_t ask = 0;
    bool granted = false;
    int refusals = 0;
    Duration extension{};  // of max_wait, for asking elsewhere after a timeout
    Duration retry_after{};
    std::set<std::string> tried;
  };

  EntryActions AskNext(Entry& entry, TimePoint now);
  EntryActions Ask(Entry& entry, const std::string& engine, TimePoint now);
  EntryActions OnRejected(Entry& entry, const AskReply& reply, TimePoint now);
  EntryActions Refuse(const Entry& entry, EntryRefusal refusal);
  SelectRequest SelectFor(const Entry& entry) const;
  WorkItem ItemFor(const Entry& entry, TimePoint now) const;

  std::string node_;
  EngineSelector selector_;
  RetryBudget budget_;
  TenantLimiter limiter_;
  std::mt19937_64 random_;
  uint64_t next_ask_ = 1;
  std::unordered_map<RequestId, Entry> entries_;
};

}  // namespace cartsail
