// Random schedules over the pure code, a thousand seeds each: what must hold whatever happens.
#include <map>
#include <random>
#include <set>

#include "cartsail/claims/claim_batcher.h"
#include "cartsail/config/snapshot.h"
#include "cartsail/scheduler/engine_queue.h"
#include "platform_store.h"
#include "testing/criterion.h"

namespace cartsail::emulator {
namespace {

constexpr uint64_t kSeeds = 1000;

int Draw(std::mt19937_64& random, int limit) {
  return static_cast<int>(random() % static_cast<uint64_t>(limit));
}

// Drives one queue and keeps its own account of what waits and runs.
class QueueModel {
 public:
  explicit QueueModel(uint64_t seed) : random_(seed), queue_(MakePolicy(), now_) {}

  void Run() {
    for (int step = 0; step < 300; ++step) {
      now_ += milliseconds(Draw(random_, 200));
      switch (Draw(random_, 8)) {
        case 0:
        case 1:
        case 2:
        case 3:
          Submit();
          break;
        case 4:
        case 5:
          Release();
          break;
        case 6:
          CancelOne();
          break;
        default:
          Take(queue_.Tick(now_), 0);
          break;
      }
      Check();
    }
    // In the end everything that ever asked has an answer.
    while (!running_.empty()) Release();
    now_ += seconds(1000);
    Take(queue_.Tick(now_), 0);
    while (!running_.empty()) Release();
    cr_assert(waiting_.empty(), "%zu were never answered", waiting_.size());
  }

 private:
  EngineQueuePolicy MakePolicy() {
    EngineQueuePolicy policy;
    policy.initial_window = 1 + Draw(random_, 6);
    policy.max_window = policy.initial_window;
    policy.queue_limit = 1 + Draw(random_, 8);
    policy.headroom_limit = Draw(random_, 2) == 0 ? 0 : 0.5;
    policy.preempt_after = Draw(random_, 2) == 0 ? -1 : 0.3;
    preempts_ = policy.preempt_after >= 0;
    limit_ = policy.initial_window;
    return policy;
  }

  void Submit() {
    WorkItem item;
    item.id = next_++;
    item.node = "n";
    item.tier = Draw(random_, kSchedulerTiers);
    item.max_wait = milliseconds(100 + Draw(random_, 5000));
    item.ttft_target = milliseconds(100 + Draw(random_, 2000));
    item.preemptible = Draw(random_, 3) != 0;
    waiting_[item.id] = item;
    Take(queue_.Submit(item, now_), item.id);
  }

  void Release() {
    if (running_.empty()) return;
    auto entry = running_.begin();
    std::advance(entry, Draw(random_, static_cast<int>(running_.size())));
    const RequestId id = entry->first;
    running_.erase(entry);
    ServiceReport report;
    report.token_interval = milliseconds(10 + Draw(random_, 100));
    report.interval_target = milliseconds(60);
    Take(queue_.Release(id, report, now_), 0);
  }

  void CancelOne() {
    if (waiting_.empty()) return;
    const RequestId id = waiting_.begin()->first;
    waiting_.erase(id);
    Take(queue_.Cancel(id, now_), 0);
  }

  int LowestWaiting() const {
    int lowest = -1;
    for (const auto& [id, item] : waiting_) lowest = std::max(lowest, item.tier);
    return lowest;
  }

  void Take(const QueueActions& actions, RequestId submitted) {
    for (const QueueAction& action : actions) {
      if (action.kind == QueueAction::Kind::kPreempt) {
        TakePreemption(action.id);
        continue;
      }
      const auto found = waiting_.find(action.id);
      cr_assert(found != waiting_.end(), "one answer for each request");
      const WorkItem item = found->second;
      waiting_.erase(found);
      if (action.kind == QueueAction::Kind::kGrant) {
        running_[action.id] = item;
        if (action.by_share) running_[action.id].preemptible = false;
        continue;
      }
      if (action.reason == RejectReason::kQueueTimeout) continue;
      cr_assert(action.retry_after > Duration(0), "a refusal says when to come back");
      // Nobody is refused while a lower tier keeps a place that it could have.
      if (action.reason == RejectReason::kEvicted) {
        cr_assert(item.tier > waiting_[submitted].tier, "only a lower tier is evicted");
        cr_assert(LowestWaiting() <= item.tier, "and the lowest first");
      }
      if (action.reason == RejectReason::kOverloaded) {
        cr_assert(action.id == submitted);
      }
    }
  }

  void TakePreemption(RequestId id) {
    const auto victim = running_.find(id);
    cr_assert(preempts_ && victim != running_.end() && victim->second.preemptible);
    cr_assert(told_.insert(id).second, "told once");
    bool for_higher = false;
    for (const auto& [waiting, item] : waiting_) {
      if (item.tier < victim->second.tier) for_higher = true;
    }
    cr_assert(for_higher, "preempted only for a higher tier");
    for (const auto& [other, item] : running_) {
      if (item.preemptible && !told_.contains(other)) {
        cr_assert(item.tier <= victim->second.tier, "the lowest running tier first");
      }
    }
  }

  void Check() {
    cr_assert(queue_.InFlight() == static_cast<int>(running_.size()));
    cr_assert(queue_.Waiting() == static_cast<int>(waiting_.size()));
    cr_assert(static_cast<int>(running_.size()) <= limit_, "never more than the window");
  }

  std::mt19937_64 random_;
  TimePoint now_ = TimePoint(seconds(100));
  bool preempts_ = false;
  int limit_ = 0;
  EngineQueue queue_;
  RequestId next_ = 1;
  std::map<RequestId, WorkItem> waiting_;
  std::map<RequestId, WorkItem> running_;
  std::set<RequestId> told_;
};

Test(properties, tier_order_in_every_schedule) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) QueueModel(seed).Run();
}

// Several nodes claim the same keys through their own batchers; writes are lost, replies are lost.
Test(properties, one_winner_per_key_in_every_schedule) {
  constexpr int kNodes = 3;
  constexpr int kKeys = 6;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    PlatformStore store;
    ClaimBatcher batchers[kNodes];
    std::map<uint64_t, std::string> key_of;
    std::map<std::string, int> winners;
    TimePoint now(seconds(10));
    uint64_t ticket = 0;
    for (int step = 0; step < 120; ++step) {
      now += milliseconds(Draw(random, 300));
      ClaimBatcher& batcher = batchers[Draw(random, kNodes)];
      if (step < 80) {
        const std::string key = "k" + std::to_string(Draw(random, kKeys));
        key_of[++ticket] = key;
        batcher.Add({ticket, key, {"a" + std::to_string(ticket), "e"}, now + seconds(2)});
      }
      batcher.Expire(now);
      const std::vector<ClaimRequest> batch = batcher.TakeBatch(now);
      if (batch.empty()) continue;
      if (Draw(random, 4) == 0) {  // the write itself is lost
        batcher.OnFailure(now);
        continue;
      }
      TxnRequest txn;
      for (const ClaimRequest& claim : batch)
        txn.success.push_back(CreateIfAbsent({claim.key, SerializeClaim(claim.record), 0}));
      const TxnResult result = store.Txn(txn);
      if (Draw(random, 4) == 0) {  // its reply is lost
        batcher.OnFailure(now);
        continue;
      }
      std::vector<ClaimRecord> holders;
      for (size_t i = 0; i < batch.size(); ++i) {
        const TxnResult& one = result.nested[i];
        holders.push_back(one.succeeded ? batch[i].record
                                        : ParseClaim(one.ranges.front().kvs.front().value));
      }
      for (const ClaimResult& verdict : batcher.OnReply(holders)) {
        if (verdict.verdict == ClaimVerdict::kWon) ++winners[key_of[verdict.ticket]];
      }
    }
    for (const auto& [key, count] : winners) cr_assert(count == 1, "%s has %d", key.c_str(), count);
  }
}

// Deltas arrive late, doubled, out of order and with gaps: a node's revision only grows, and a node
// that has a revision has its content.
Test(properties, revisions_only_grow_in_every_schedule) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<ConfigSnapshotPtr> history = {ConfigSnapshot::Empty()};
    for (int64_t revision = 1; revision <= 12; ++revision) {
      Branch branch;
      branch.tenant = "t" + std::to_string(Draw(random, 3));
      branch.revision = revision;
      branch.settings["tier"] = std::to_string(revision % kTierCount);
      branch.services["s"].classes["c"];
      ConfigDelta delta;
      delta.since = revision - 1;
      delta.revision = revision;
      delta.branches.push_back({branch.tenant, SerializeBranch(branch), revision});
      history.push_back(history.back()->Apply(delta).value());
    }
    ConfigSnapshotPtr node = ConfigSnapshot::Empty();
    for (int step = 0; step < 30; ++step) {
      const auto& source = history[static_cast<size_t>(1 + Draw(random, 12))];
      const ConfigDelta delta = source->DeltaSince(Draw(random, 12));
      const auto next = node->Apply(delta);
      if (!next.ok()) continue;
      cr_assert((*next)->Revision() > node->Revision());
      node = *next;
      const auto& same = history[static_cast<size_t>(node->Revision())];
      for (const char* tenant : {"t0", "t1", "t2"}) {
        const auto left = node->Resolve(tenant, "s", "c");
        const auto right = same->Resolve(tenant, "s", "c");
        cr_assert(left.ok() == right.ok());
        if (left.ok()) cr_assert(left->tier == right->tier);
      }
    }
  }
}

}  // namespace
}  // namespace cartsail::emulator
