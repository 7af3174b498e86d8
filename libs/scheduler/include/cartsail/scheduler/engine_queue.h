// The queue and window of one engine, held by the engine's owner.
//
// Decides in one place, with exact in-flight counts, which request starts next, which waits, which
// is given up and which running one is preempted. Pure: events and times in, actions out.
//
// Rules, in order of strength:
//  - a request is never rejected or expired while a lower tier holds a waiting place it could take
//    or, when preemption is on, a preemptible running slot;
//  - every tier with waiting requests gets its guaranteed share of starts;
//  - otherwise the higher tier starts first, and inside a tier the earliest start deadline;
//  - a lower tier leaves headroom free that recent demand of higher tiers calls for, where the
//  policy
//    asks for it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cartsail/scheduler/rate_estimate.h"
#include "cartsail/scheduler/types.h"

namespace cartsail {

class EngineQueue {
 public:
  EngineQueue(EngineQueuePolicy policy, TimePoint now);

  // A request asks for a slot. Asking twice with one id is the same as once.
  QueueActions Submit(const WorkItem& item, TimePoint now);

  // A granted request has ended. Unknown ids are ignored.
  QueueActions Release(RequestId id, const ServiceReport& report, TimePoint now);

  // The caller has gone: drops a waiting request (a running one is ended by Release()).
  QueueActions Cancel(RequestId id, TimePoint now);

  // Time has passed: expires and preempts. Call every few tens of milliseconds while any wait.
  QueueActions Tick(TimePoint now);

  // `node` announces all its running grants of this engine: replaces what was known of it.
  QueueActions Announce(const std::string& node, const std::vector<WorkItem>& running,
                        TimePoint now);

  // A node was lost: forgets its grants and waiting requests.
  QueueActions DropNode(const std::string& node, TimePoint now);

  // The engine is leaving or no longer owned here: rejects all that wait with `reason`.
  QueueActions Close(RejectReason reason);

  void SetPolicy(const EngineQueuePolicy& policy);

  // Grants nothing before `time`: after a take-over the entry nodes first announce what runs.
  void HoldUntil(TimePoint time) { hold_until_ = time; }

  QueueDigest Digest(TimePoint now) const;

  int Window() const { return window_; }
  int InFlight() const { return static_cast<int>(running_.size()); }
  int Waiting() const { return static_cast<int>(waiting_index_.size()); }

 private:
  struct WaitingItem {
    WorkItem item;
    TimePoint arrival;
  };
  struct Running {
    std::string node;
    int tier = 0;
    bool preemptible = false;
    bool preempting = false;
    TimePoint start;
    Duration ttft_target{};
  };
  // Waiting requests of a tier by start deadline, then id.
  using WaitingKey = std::pair<TimePoint, RequestId>;
  using TierQueue = std::map<WaitingKey, WaitingItem>;

  bool Admit(const WorkItem& item, TimePoint now, QueueActions& actions);
  bool EvictLowerThan(int tier, QueueActions& actions);
  Duration EstimateWait(int tier, TimePoint now) const;
  bool CanPreemptFor(int tier) const;
  void Dispatch(TimePoint now, QueueActions& actions);
  std::optional<int> PickTier() const;
  void Start(int tier, bool by_share, TimePoint now, QueueActions& actions);
  void Preempt(TimePoint now, QueueActions& actions);
  bool PreemptOneFor(int tier, QueueActions& actions);
  void Expire(TimePoint now, QueueActions& actions);
  std::optional<TimePoint> PreemptTime(const WaitingItem& waiting) const;
  void EraseWaiting(int tier, TierQueue::iterator position);
  void EraseRunning(RequestId id);
  void NoteDemand(TimePoint now);
  double DecayedPeak(int tier, TimePoint now) const;
  int Headroom(int tier, TimePoint now) const;
  void UpdateHeadroom(TimePoint now);
  static double PaceRatio(const ServiceReport& report, const Running& entry);
  void AdaptWindow(const ServiceReport& report, const Running& entry, TimePoint now);

  EngineQueuePolicy policy_;
  int window_;
  bool closed_ = false;
  TimePoint hold_until_{};
  PerTier<TierQueue> waiting_;
  std::unordered_map<RequestId, std::pair<int, WaitingKey>> waiting_index_;
  std::unordered_map<RequestId, Running> running_;
  PerTier<int> running_by_tier_{};
  PerTier<int> preemptible_by_tier_{};  // running, preemptible, not yet told
  int preempting_ = 0;                  // told to stop, slot not yet released
  PerTier<double> credit_{};            // guaranteed starts owed

  PerTier<double> peak_{};  // decayed peak of running + waiting
  PerTier<TimePoint> peak_time_{};
  PerTier<int> headroom_{};
  PerTier<RateEstimate> arrivals_;
  RateEstimate releases_;

  PerTier<double> pace_ratio_{};  // measured pace / target, smoothed; above 1 is too slow
  PerTier<TimePoint> pace_time_{};
  bool saturated_ = false;  // the window was full since the last adaptation
  int releases_since_adapt_ = 0;
};

}  // namespace cartsail
