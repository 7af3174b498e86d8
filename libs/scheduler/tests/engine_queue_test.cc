#include "cartsail/scheduler/engine_queue.h"

#include <algorithm>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

WorkItem Item(RequestId id, int tier) {
  WorkItem item;
  item.id = id;
  item.node = "n1";
  item.tier = tier;
  item.max_wait = seconds(10);
  item.ttft_target = seconds(1);
  item.preemptible = true;
  return item;
}

EngineQueuePolicy SmallPolicy(int window) {
  EngineQueuePolicy policy;
  policy.initial_window = window;
  policy.headroom_limit = 0;
  policy.adapt_window = false;
  return policy;
}

int Count(const QueueActions& actions, QueueAction::Kind kind) {
  return static_cast<int>(std::count_if(
      actions.begin(), actions.end(), [kind](const auto& action) { return action.kind == kind; }));
}

bool Has(const QueueActions& actions, QueueAction::Kind kind, RequestId id) {
  return std::any_of(actions.begin(), actions.end(), [&](const QueueAction& action) {
    return action.kind == kind && action.id == id;
  });
}

Test(engine_queue, grants_up_to_the_window) {
  EngineQueue queue(SmallPolicy(2), kStart);
  cr_assert(Has(queue.Submit(Item(1, 3), kStart), QueueAction::Kind::kGrant, 1));
  cr_assert(Has(queue.Submit(Item(2, 3), kStart), QueueAction::Kind::kGrant, 2));
  cr_assert(queue.Submit(Item(3, 3), kStart).empty());
  cr_assert(Has(queue.Release(1, {}, kStart), QueueAction::Kind::kGrant, 3));
  cr_assert(queue.InFlight() == 2);
}

Test(engine_queue, the_same_request_twice_counts_once) {
  EngineQueue queue(SmallPolicy(2), kStart);
  queue.Submit(Item(1, 3), kStart);
  cr_assert(queue.Submit(Item(1, 3), kStart).empty());
  cr_assert(queue.InFlight() == 1);
  cr_assert(queue.Release(99, {}, kStart).empty(), "an unknown release frees nothing");
  cr_assert(queue.InFlight() == 1);
}

Test(engine_queue, the_higher_tier_starts_first) {
  EngineQueuePolicy policy = SmallPolicy(1);
  policy.preempt_after = -1;
  EngineQueue queue(policy, kStart);
  queue.Submit(Item(1, 3), kStart);
  queue.Submit(Item(2, 4), kStart);
  queue.Submit(Item(3, 0), kStart + milliseconds(1));
  cr_assert(Has(queue.Release(1, {}, kStart + milliseconds(2)), QueueAction::Kind::kGrant, 3));
}

Test(engine_queue, inside_a_tier_the_earliest_deadline_starts_first) {
  EngineQueuePolicy policy = SmallPolicy(1);
  policy.preempt_after = -1;
  EngineQueue queue(policy, kStart);
  queue.Submit(Item(1, 2), kStart);
  queue.Submit(Item(2, 2), kStart);
  WorkItem waited_longer = Item(3, 2);
  waited_longer.waited = seconds(5);
  queue.Submit(waited_longer, kStart);
  cr_assert(Has(queue.Release(1, {}, kStart), QueueAction::Kind::kGrant, 3));
}

Test(engine_queue, a_full_queue_evicts_the_lowest_tier) {
  EngineQueuePolicy policy = SmallPolicy(1);
  policy.queue_limit = 2;
  policy.preempt_after = -1;
  EngineQueue queue(policy, kStart);
  queue.Submit(Item(1, 0), kStart);
  queue.Submit(Item(2, 4), kStart);
  queue.Submit(Item(3, 5), kStart);
  const QueueActions actions = queue.Submit(Item(4, 1), kStart);
  cr_assert(Has(actions, QueueAction::Kind::kReject, 3));
  cr_assert(actions[0].reason == RejectReason::kEvicted);
  cr_assert(actions[0].retry_after >= seconds(1), "it is told when to come back");
  // Nothing lower is left for another tier 5: it is refused itself.
  cr_assert(Has(queue.Submit(Item(5, 5), kStart), QueueAction::Kind::kReject, 5));
}

Test(engine_queue, a_higher_tier_preempts_the_lowest_running) {
  EngineQueue queue(SmallPolicy(2), kStart);
  queue.Submit(Item(1, 5), kStart);
  queue.Submit(Item(2, 3), kStart);
  cr_assert(queue.Submit(Item(3, 0), kStart).empty(), "it first waits a part of its target");
  const QueueActions actions = queue.Tick(kStart + milliseconds(400));
  cr_assert(Has(actions, QueueAction::Kind::kPreempt, 1));
  cr_assert(Count(actions, QueueAction::Kind::kPreempt) == 1);
  cr_assert(queue.Tick(kStart + milliseconds(500)).empty(), "one slot is coming for one request");
  cr_assert(Has(queue.Release(1, {}, kStart + milliseconds(510)), QueueAction::Kind::kGrant, 3));
}

Test(engine_queue, nothing_is_preempted_for_its_own_or_a_lower_tier) {
  EngineQueue queue(SmallPolicy(1), kStart);
  WorkItem fixed = Item(1, 4);
  queue.Submit(fixed, kStart);
  queue.Submit(Item(2, 4), kStart);
  queue.Submit(Item(3, 5), kStart);
  cr_assert(queue.Tick(kStart + seconds(5)).empty());
}

Test(engine_queue, what_may_not_be_preempted_is_not) {
  EngineQueue queue(SmallPolicy(1), kStart);
  WorkItem fixed = Item(1, 5);
  fixed.preemptible = false;
  queue.Submit(fixed, kStart);
  queue.Submit(Item(2, 0), kStart);
  cr_assert(Count(queue.Tick(kStart + seconds(2)), QueueAction::Kind::kPreempt) == 0);
}

Test(engine_queue, a_request_that_waited_its_time_is_given_up) {
  EngineQueue queue(SmallPolicy(1), kStart);
  queue.Submit(Item(1, 0), kStart);
  queue.Submit(Item(2, 0), kStart);
  cr_assert(queue.Tick(kStart + seconds(9)).empty());
  const QueueActions actions = queue.Tick(kStart + seconds(10));
  cr_assert(Has(actions, QueueAction::Kind::kReject, 2));
  cr_assert(actions[0].reason == RejectReason::kQueueTimeout);
}

// Under a steady flood of tier 0, tier 5 still gets its share of starts.
Test(engine_queue, no_tier_starves) {
  EngineQueuePolicy policy = SmallPolicy(4);
  policy.queue_limit = 10000;
  policy.preempt_after = -1;
  EngineQueue queue(policy, kStart);
  RequestId next = 1;
  int low_started = 0;
  std::vector<RequestId> running;
  const auto take = [&](const QueueActions& actions) {
    for (const QueueAction& action : actions) {
      if (action.kind != QueueAction::Kind::kGrant) continue;
      running.push_back(action.id);
      if (action.id % 2 == 0) ++low_started;
    }
  };
  for (int i = 0; i < 1000; ++i) {
    WorkItem high = Item(2 * next + 1, 0);
    WorkItem low = Item(2 * next, 5);
    high.max_wait = low.max_wait = seconds(100000);
    ++next;
    take(queue.Submit(high, kStart));
    take(queue.Submit(low, kStart));
    const RequestId done = running.front();
    running.erase(running.begin());
    take(queue.Release(done, {}, kStart));
  }
  cr_assert(low_started >= 15 && low_started <= 40, "%d of 1000", low_started);
}

// A start by guaranteed share is not taken back for the next of a higher tier.
Test(engine_queue, a_guaranteed_start_is_not_preempted) {
  EngineQueuePolicy policy = SmallPolicy(1);
  policy.tier_shares.fill(0.5);
  EngineQueue queue(policy, kStart);
  queue.Submit(Item(1, 1), kStart);
  queue.Submit(Item(2, 5), kStart);
  TimePoint now = kStart;
  RequestId running = 1;
  RequestId next = 10;
  while (running != 2) {
    queue.Submit(Item(next++, 1), now);
    const QueueActions actions = queue.Release(running, {}, now);
    cr_assert(Count(actions, QueueAction::Kind::kGrant) == 1);
    for (const QueueAction& action : actions) {
      if (action.kind == QueueAction::Kind::kGrant) running = action.id;
    }
    cr_assert(next < 20, "the share is given");
  }
  queue.Submit(Item(99, 0), now);
  cr_assert(queue.Tick(now + seconds(2)).empty(), "nothing is preempted");
}

// The wait by a guaranteed share does not depend on how many of higher tiers wait.
Test(engine_queue, a_low_tier_is_admitted_under_a_flood_of_higher_ones) {
  EngineQueuePolicy policy = SmallPolicy(4);
  policy.preempt_after = -1;
  policy.tier_shares.fill(0.05);
  EngineQueue queue(policy, kStart);
  TimePoint now = kStart;
  RequestId next = 1;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(50);
    for (int burst = 0; burst < 3; ++burst) queue.Submit(Item(next++, 1), now);
    queue.Release(static_cast<RequestId>(i) + 1, {}, now);
  }
  cr_assert(queue.Waiting() > 20, "%d wait", queue.Waiting());
  cr_assert(queue.Submit(Item(100000, 5), now).empty(), "tier 5 may wait for its share");
}

// A burst of tier 0 leaves room behind it: tier 4 may not take the whole window again.
Test(engine_queue, headroom_follows_recent_demand_of_higher_tiers) {
  EngineQueuePolicy policy = SmallPolicy(8);
  policy.headroom_limit = 0.5;
  policy.preempt_after = -1;
  EngineQueue queue(policy, kStart);
  for (RequestId id = 1; id <= 3; ++id) queue.Submit(Item(id, 0), kStart);
  for (RequestId id = 1; id <= 3; ++id) queue.Release(id, {}, kStart + seconds(1));
  for (RequestId id = 10; id < 20; ++id) queue.Submit(Item(id, 4), kStart + seconds(1));
  cr_assert(queue.InFlight() == 5, "3 of 8 slots stay free");
  cr_assert(Has(queue.Submit(Item(30, 0), kStart + seconds(2)), QueueAction::Kind::kGrant, 30));
  // Once the burst is long past, the room is given back.
  queue.Release(30, {}, kStart + seconds(3));
  queue.Tick(kStart + seconds(3));
  for (RequestId id = 40; id < 50; ++id) {
    WorkItem item = Item(id, 4);
    item.max_wait = seconds(1000);
    queue.Submit(item, kStart + seconds(3));
  }
  queue.Tick(kStart + seconds(200));
  cr_assert(queue.InFlight() == 8);
}

Test(engine_queue, the_window_follows_the_measured_pace) {
  EngineQueuePolicy policy = SmallPolicy(16);
  policy.adapt_window = true;
  EngineQueue queue(policy, kStart);
  ServiceReport slow;
  slow.token_interval = milliseconds(200);
  slow.interval_target = milliseconds(100);
  RequestId next = 1;
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    queue.Submit(Item(next, 0), now);
    queue.Release(next++, slow, now);
  }
  cr_assert(queue.Window() < 8, "window %d", queue.Window());
}

Test(engine_queue, an_announcement_replaces_what_was_known_of_a_node) {
  EngineQueue queue(SmallPolicy(2), kStart);
  queue.HoldUntil(kStart + milliseconds(300));
  cr_assert(queue.Submit(Item(5, 0), kStart).empty(), "held during a take-over");
  WorkItem first = Item(1, 3);
  WorkItem second = Item(2, 3);
  first.preemptible = second.preemptible = false;
  queue.Announce("n1", {first, second}, kStart);
  cr_assert(queue.Tick(kStart + milliseconds(301)).empty(), "both slots are in use");
  const QueueActions actions = queue.Announce("n1", {second}, kStart + milliseconds(310));
  cr_assert(Has(actions, QueueAction::Kind::kGrant, 5));
}

Test(engine_queue, a_lost_node_frees_its_slots) {
  EngineQueue queue(SmallPolicy(1), kStart);
  queue.Submit(Item(1, 3), kStart);
  WorkItem other = Item(2, 3);
  other.node = "n2";
  queue.Submit(other, kStart);
  cr_assert(Has(queue.DropNode("n1", kStart), QueueAction::Kind::kGrant, 2));
}

Test(engine_queue, a_leaving_engine_rejects_what_waits_and_what_comes) {
  EngineQueue queue(SmallPolicy(1), kStart);
  queue.Submit(Item(1, 3), kStart);
  queue.Submit(Item(2, 3), kStart);
  cr_assert(Has(queue.Close(RejectReason::kLeaving), QueueAction::Kind::kReject, 2));
  cr_assert(Has(queue.Submit(Item(3, 0), kStart), QueueAction::Kind::kReject, 3));
}

}  // namespace
}  // namespace cartsail
