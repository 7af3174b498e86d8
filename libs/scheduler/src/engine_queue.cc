#include "cartsail/scheduler/engine_queue.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

// A tier's owed starts are capped, so that a quiet spell does not build up a later burst.
constexpr double kLargestCredit = 2;
// Demand below this is noise left over from decay.
constexpr double kSmallestPeak = 0.25;
// Smoothing of the pace ratio.
constexpr double kRatioWeight = 0.2;
// The part of the first-token target that may pass between grant and first token.
constexpr double kEngineShareOfFirstToken = 0.5;
// The window shrinks above the target and grows well below it.
constexpr double kShrinkAbove = 1.0;
constexpr double kGrowBelow = 0.85;
constexpr double kShrinkFactor = 0.9;
// A tier's ratio counts for so long after its last answer.
constexpr Duration kRatioLifetime = seconds(10);
// Retry-After bounds.
constexpr Duration kShortestRetryAfter = seconds(1);
constexpr Duration kLongestRetryAfter = seconds(30);
constexpr double kSmallestRate = 1e-6;
constexpr double kLongestEstimateSeconds = 1e6;
constexpr Duration kUnknownWait = Duration::max();

QueueAction Reject(RequestId id, const std::string& node, RejectReason reason,
                   Duration retry_after) {
  return {QueueAction::Kind::kReject, id, node, reason, retry_after, false};
}

}  // namespace

EngineQueue::EngineQueue(EngineQueuePolicy policy, TimePoint now)
    : policy_(policy), window_(policy.initial_window) {
  peak_time_.fill(now);
}

QueueActions EngineQueue::Submit(const WorkItem& item, TimePoint now) {
  QueueActions actions;
  if (running_.contains(item.id) || waiting_index_.contains(item.id)) return actions;
  if (closed_) {
    actions.push_back(Reject(item.id, item.node, RejectReason::kLeaving, Duration(0)));
    return actions;
  }
  arrivals_[item.tier].Add(now);
  if (!Admit(item, now, actions)) return actions;
  const TimePoint arrival = now - item.waited;
  const WaitingKey key{arrival + item.max_wait, item.id};
  waiting_[item.tier].emplace(key, WaitingItem{item, arrival});
  waiting_index_.emplace(item.id, std::make_pair(item.tier, key));
  NoteDemand(now);
  Dispatch(now, actions);
  return actions;
}

// Decides whether a newcomer may wait. Pushes the rejection of the newcomer, or of the request
// whose place it takes.
bool EngineQueue::Admit(const WorkItem& item, TimePoint now, QueueActions& actions) {
  const Duration left = item.max_wait - item.waited;
  const Duration estimate = EstimateWait(item.tier, now);
  const bool too_late = estimate != kUnknownWait && estimate > left;
  if (too_late && !CanPreemptFor(item.tier)) {
    const Duration retry_after =
        std::clamp(estimate - left, kShortestRetryAfter, kLongestRetryAfter);
    actions.push_back(Reject(item.id, item.node, RejectReason::kOverloaded, retry_after));
    return false;
  }
  if (Waiting() < policy_.queue_limit) return true;
  if (EvictLowerThan(item.tier, actions)) return true;
  actions.push_back(Reject(item.id, item.node, RejectReason::kOverloaded, kShortestRetryAfter));
  return false;
}

// Rejects the newest waiting request of the lowest tier below `tier`.
bool EngineQueue::EvictLowerThan(int tier, QueueActions& actions) {
  for (int lower = kSchedulerTiers - 1; lower > tier; --lower) {
    if (waiting_[lower].empty()) continue;
    const auto last = std::prev(waiting_[lower].end());
    actions.push_back(Reject(last->second.item.id, last->second.item.node, RejectReason::kEvicted,
                             kShortestRetryAfter));
    EraseWaiting(lower, last);
    return true;
  }
  return false;
}

// Expected wait of a newcomer at `tier`, the shorter of two ways to a start: behind all that wait
// at its tier and above, at the rate that higher tiers leave; or by the tier's guaranteed share,
// behind its own tier only.
Duration EngineQueue::EstimateWait(int tier, TimePoint now) const {
  if (InFlight() < window_ - headroom_[tier] && waiting_[tier].empty()) return Duration(0);
  const double total_rate = releases_.PerSecond(now);
  if (total_rate <= 0) return kUnknownWait;
  const auto own = static_cast<double>(waiting_[tier].size()) + 1;
  double ahead = own;
  double rate_left = total_rate;
  for (int higher = 0; higher < tier; ++higher) {
    rate_left -= arrivals_[higher].PerSecond(now);
    ahead += static_cast<double>(waiting_[higher].size());
  }
  double wait = own / std::max(policy_.tier_shares[tier] * total_rate, kSmallestRate);
  rate_left = std::max(rate_left, policy_.admission_floor * total_rate);
  if (rate_left > 0) wait = std::min(wait, ahead / rate_left);
  return FromSeconds(std::min(wait, kLongestEstimateSeconds));
}

bool EngineQueue::CanPreemptFor(int tier) const {
  if (policy_.preempt_after < 0) return false;
  int preemptible = 0;
  int waiting_at_or_above = 0;
  for (int t = 0; t < kSchedulerTiers; ++t) {
    if (t > tier) preemptible += preemptible_by_tier_[t];
    if (t <= tier) waiting_at_or_above += static_cast<int>(waiting_[t].size());
  }
  return preemptible + preempting_ > waiting_at_or_above;
}

QueueActions EngineQueue::Release(RequestId id, const ServiceReport& report, TimePoint now) {
  QueueActions actions;
  const auto found = running_.find(id);
  if (found == running_.end()) return actions;
  const Running entry = found->second;
  EraseRunning(id);
  if (report.started) {
    releases_.Add(now);
    AdaptWindow(report, entry, now);
  }
  NoteDemand(now);
  Dispatch(now, actions);
  return actions;
}

QueueActions EngineQueue::Cancel(RequestId id, TimePoint now) {
  const auto found = waiting_index_.find(id);
  if (found == waiting_index_.end()) return {};
  const auto [tier, key] = found->second;
  EraseWaiting(tier, waiting_[tier].find(key));
  QueueActions actions;
  Dispatch(now, actions);
  return actions;
}

QueueActions EngineQueue::Tick(TimePoint now) {
  QueueActions actions;
  Expire(now, actions);
  Dispatch(now, actions);
  return actions;
}

QueueActions EngineQueue::Announce(const std::string& node, const std::vector<WorkItem>& running,
                                   TimePoint now) {
  std::unordered_map<RequestId, const WorkItem*> announced;
  for (const WorkItem& item : running) announced.emplace(item.id, &item);
  std::vector<RequestId> gone;
  for (const auto& [id, entry] : running_) {
    if (entry.node == node && !announced.contains(id)) gone.push_back(id);
  }
  for (const RequestId id : gone) EraseRunning(id);
  for (const WorkItem& item : running) {
    if (running_.contains(item.id)) continue;
    running_.emplace(item.id,
                     Running{node, item.tier, item.preemptible, false, now, item.ttft_target});
    ++running_by_tier_[item.tier];
    if (item.preemptible) ++preemptible_by_tier_[item.tier];
  }
  NoteDemand(now);
  QueueActions actions;
  Dispatch(now, actions);
  return actions;
}

QueueActions EngineQueue::DropNode(const std::string& node, TimePoint now) {
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    for (auto position = waiting_[tier].begin(); position != waiting_[tier].end();) {
      const auto next = std::next(position);
      if (position->second.item.node == node) EraseWaiting(tier, position);
      position = next;
    }
  }
  return Announce(node, {}, now);
}

QueueActions EngineQueue::Close(RejectReason reason) {
  closed_ = true;
  QueueActions actions;
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    for (const auto& [key, waiting] : waiting_[tier]) {
      actions.push_back(Reject(waiting.item.id, waiting.item.node, reason, Duration(0)));
    }
    waiting_[tier].clear();
  }
  waiting_index_.clear();
  return actions;
}

void EngineQueue::SetPolicy(const EngineQueuePolicy& policy) { policy_ = policy; }

// Starts waiting requests while slots are free, then preempts for those that wait too long.
void EngineQueue::Dispatch(TimePoint now, QueueActions& actions) {
  UpdateHeadroom(now);
  if (now < hold_until_) return;
  while (InFlight() < window_) {
    std::optional<int> tier;
    bool by_share = false;
    for (int t = kSchedulerTiers - 1; t >= 0; --t) {
      if (credit_[t] >= 1 && !waiting_[t].empty()) {
        tier = t;
        by_share = true;
        break;
      }
    }
    if (!tier.has_value()) tier = PickTier();
    if (!tier.has_value()) break;
    Start(*tier, by_share, now, actions);
  }
  if (InFlight() >= window_) saturated_ = true;
  Preempt(now, actions);
}

// The highest tier that has a waiting request and may use the next free slot.
std::optional<int> EngineQueue::PickTier() const {
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    if (waiting_[tier].empty()) continue;
    if (InFlight() + headroom_[tier] < window_) return tier;
  }
  return std::nullopt;
}

void EngineQueue::Start(int tier, bool by_share, TimePoint now, QueueActions& actions) {
  const auto first = waiting_[tier].begin();
  const WorkItem item = first->second.item;
  EraseWaiting(tier, first);
  // A guaranteed start that could be taken back at once would guarantee nothing.
  const bool preemptible = item.preemptible && !by_share;
  running_.emplace(item.id, Running{item.node, tier, preemptible, false, now, item.ttft_target});
  ++running_by_tier_[tier];
  if (preemptible) ++preemptible_by_tier_[tier];
  for (int t = 0; t < kSchedulerTiers; ++t) {
    if (waiting_[t].empty()) continue;
    credit_[t] = std::min(credit_[t] + policy_.tier_shares[t], kLargestCredit);
  }
  if (by_share) {
    credit_[tier] -= 1;
  } else {
    credit_[tier] = std::max(0.0, credit_[tier] - 1);
  }
  actions.push_back({QueueAction::Kind::kGrant, item.id, item.node, {}, {}, by_share});
}

void EngineQueue::Preempt(TimePoint now, QueueActions& actions) {
  if (policy_.preempt_after < 0) return;
  int slots_coming = preempting_ + std::max(0, window_ - InFlight());
  int preemptible_below = 0;
  for (const int count : preemptible_by_tier_) preemptible_below += count;
  for (int tier = 0; tier < kSchedulerTiers - 1; ++tier) {
    preemptible_below -= preemptible_by_tier_[tier];
    // Long queues are not looked through when nothing could be preempted for them.
    if (preemptible_below == 0) return;
    for (const auto& [key, waiting] : waiting_[tier]) {
      if (*PreemptTime(waiting) > now) continue;
      if (slots_coming > 0) {
        --slots_coming;
        continue;
      }
      if (!PreemptOneFor(tier, actions)) return;
    }
  }
}

// Tells the newest preemptible request of the lowest running tier below `tier` to stop.
bool EngineQueue::PreemptOneFor(int tier, QueueActions& actions) {
  for (int lower = kSchedulerTiers - 1; lower > tier; --lower) {
    if (preemptible_by_tier_[lower] == 0) continue;
    auto victim = running_.end();
    for (auto position = running_.begin(); position != running_.end(); ++position) {
      const Running& entry = position->second;
      if (entry.tier != lower || !entry.preemptible || entry.preempting) continue;
      if (victim == running_.end() || entry.start > victim->second.start ||
          (entry.start == victim->second.start && position->first < victim->first)) {
        victim = position;
      }
    }
    if (victim == running_.end()) continue;
    victim->second.preempting = true;
    --preemptible_by_tier_[lower];
    ++preempting_;
    actions.push_back(
        {QueueAction::Kind::kPreempt, victim->first, victim->second.node, {}, {}, false});
    return true;
  }
  return false;
}

void EngineQueue::Expire(TimePoint now, QueueActions& actions) {
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    while (!waiting_[tier].empty()) {
      const auto first = waiting_[tier].begin();
      if (first->first.first > now) break;
      actions.push_back(Reject(first->second.item.id, first->second.item.node,
                               RejectReason::kQueueTimeout, kShortestRetryAfter));
      EraseWaiting(tier, first);
    }
  }
}

std::optional<TimePoint> EngineQueue::PreemptTime(const WaitingItem& waiting) const {
  if (policy_.preempt_after < 0) return std::nullopt;
  return waiting.arrival + FromSeconds(ToSeconds(waiting.item.ttft_target) * policy_.preempt_after);
}

void EngineQueue::EraseWaiting(int tier, TierQueue::iterator position) {
  waiting_index_.erase(position->second.item.id);
  waiting_[tier].erase(position);
}

void EngineQueue::EraseRunning(RequestId id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const Running& entry = found->second;
  --running_by_tier_[entry.tier];
  if (entry.preempting) {
    --preempting_;
  } else if (entry.preemptible) {
    --preemptible_by_tier_[entry.tier];
  }
  running_.erase(found);
}

// Remembers the largest concurrent demand of each tier.
void EngineQueue::NoteDemand(TimePoint now) {
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    const double demand = running_by_tier_[tier] + static_cast<double>(waiting_[tier].size());
    const double decayed = DecayedPeak(tier, now);
    peak_[tier] = std::max(demand, decayed);
    peak_time_[tier] = now;
  }
}

double EngineQueue::DecayedPeak(int tier, TimePoint now) const {
  const double age = ToSeconds(now - peak_time_[tier]);
  return peak_[tier] * std::exp(-age / ToSeconds(policy_.headroom_memory));
}

// Slots that `tier` must leave free: what higher tiers recently used at their peak beyond what
// they use now.
int EngineQueue::Headroom(int tier, TimePoint now) const {
  const int limit = static_cast<int>(std::floor(policy_.headroom_limit * window_));
  double wanted = 0;
  for (int higher = 0; higher < tier; ++higher) {
    const double peak = DecayedPeak(higher, now);
    if (peak < kSmallestPeak) continue;
    wanted += std::max(0.0, std::ceil(peak) - running_by_tier_[higher]);
  }
  return std::clamp(static_cast<int>(wanted), 0, limit);
}

void EngineQueue::UpdateHeadroom(TimePoint now) {
  for (int tier = 0; tier < kSchedulerTiers; ++tier) headroom_[tier] = Headroom(tier, now);
}

// How slow an answer was against its targets; 0 when it tells nothing.
double EngineQueue::PaceRatio(const ServiceReport& report, const Running& entry) {
  double ratio = 0;
  if (report.token_interval > Duration(0) && report.interval_target > Duration(0)) {
    ratio = ToSeconds(report.token_interval) / ToSeconds(report.interval_target);
  }
  if (report.first_token > Duration(0) && entry.ttft_target > Duration(0)) {
    const double allowed = ToSeconds(entry.ttft_target) * kEngineShareOfFirstToken;
    ratio = std::max(ratio, ToSeconds(report.first_token) / allowed);
  }
  return ratio;
}

// Follows the measured pace of the strictest tier that had answers recently.
void EngineQueue::AdaptWindow(const ServiceReport& report, const Running& entry, TimePoint now) {
  if (!policy_.adapt_window) return;
  const int tier = entry.tier;
  const double ratio = PaceRatio(report, entry);
  if (ratio > 0) {
    const bool fresh = now - pace_time_[tier] > kRatioLifetime;
    pace_ratio_[tier] =
        fresh ? ratio : pace_ratio_[tier] * (1 - kRatioWeight) + ratio * kRatioWeight;
    pace_time_[tier] = now;
  }
  if (++releases_since_adapt_ < std::max(4, window_ / 2)) return;
  double strictest = 0;
  for (int t = 0; t < kSchedulerTiers; ++t) {
    if (now - pace_time_[t] > kRatioLifetime) continue;
    strictest = std::max(strictest, pace_ratio_[t]);
  }
  if (strictest > kShrinkAbove) {
    const int least = std::min(policy_.min_window, policy_.max_window);
    window_ = std::max(least, static_cast<int>(window_ * kShrinkFactor));
  } else if (strictest > 0 && strictest < kGrowBelow && saturated_) {
    window_ = std::min(policy_.max_window, window_ + 1);
  }
  saturated_ = false;
  releases_since_adapt_ = 0;
}

QueueDigest EngineQueue::Digest(TimePoint now) const {
  QueueDigest digest;
  digest.in_flight = InFlight();
  digest.window = window_;
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    digest.waiting[tier] = static_cast<int>(waiting_[tier].size());
    digest.running[tier] = running_by_tier_[tier];
    digest.headroom[tier] = Headroom(tier, now);
  }
  digest.release_rate = releases_.PerSecond(now);
  return digest;
}

}  // namespace cartsail
