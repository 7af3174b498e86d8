#include "cartsail/scheduler/entry_scheduler.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

EntryScheduler MakeScheduler(int engines) {
  EntryScheduler scheduler("n1", SelectorPolicy(), 7);
  std::vector<EngineInfo> infos;
  for (int i = 0; i < engines; ++i) infos.push_back({"e" + std::to_string(i), "m", "z", false});
  scheduler.Selector().SetEngines(infos);
  return scheduler;
}

EntryRequest Request(RequestId id, int tier = 2) {
  EntryRequest request;
  request.id = id;
  request.tenant = "t";
  request.class_key = "c";
  request.model = "m";
  request.tier = tier;
  request.max_wait = seconds(5);
  request.ttft_target = seconds(1);
  request.arrival = kStart;
  request.limits = {1000, 1000};
  return request;
}

AskReply Rejected(RejectReason reason) {
  AskReply reply;
  reply.reason = reason;
  reply.retry_after = seconds(2);
  return reply;
}

Test(entry, an_unknown_model_and_an_empty_fleet_have_different_answers) {
  EntryScheduler scheduler = MakeScheduler(1);
  EntryRequest unknown = Request(1);
  unknown.model = "other";
  cr_assert(scheduler.Acquire(unknown, kStart)[0].refusal == EntryRefusal::kUnknownModel);
  scheduler.Selector().MarkLeaving("e0", kStart);
  cr_assert(scheduler.Acquire(Request(2), kStart)[0].refusal == EntryRefusal::kNoBackend);
}

// The owner was lost, the request asked elsewhere, and then the first grant arrives after all.
Test(entry, a_late_grant_of_an_earlier_ask_is_returned) {
  EntryScheduler scheduler = MakeScheduler(1);
  const EntryActions first = scheduler.Acquire(Request(1), kStart);
  const EntryActions second = scheduler.OnOwnerChanged("e0", kStart);
  cr_assert(second.size() == 1 && second[0].ask != first[0].ask);
  AskReply grant;
  grant.granted = true;
  const EntryActions late = scheduler.OnReply(1, first[0].ask, grant, kStart);
  cr_assert(late.size() == 1 && late[0].kind == EntryAction::Kind::kReturn);
  cr_assert(scheduler.OnReply(1, second[0].ask, grant, kStart)[0].kind ==
            EntryAction::Kind::kGranted);
  // A grant that crosses a cancellation is returned too.
  const EntryActions other = scheduler.Acquire(Request(2), kStart);
  cr_assert(scheduler.Cancel(2)[0].kind == EntryAction::Kind::kWithdraw);
  cr_assert(scheduler.OnReply(2, other[0].ask, grant, kStart)[0].kind ==
            EntryAction::Kind::kReturn);
}

Test(entry, all_engines_with_lower_tiers_are_asked_before_giving_up) {
  constexpr int kEngines = 8;
  EntryScheduler scheduler = MakeScheduler(kEngines);
  QueueDigest digest;
  digest.window = 4;
  digest.in_flight = 4;
  digest.running[4] = 4;
  for (int i = 0; i < kEngines; ++i) {
    scheduler.Selector().UpdateDigest("e" + std::to_string(i), digest);
  }
  std::set<std::string> asked;
  EntryActions actions = scheduler.Acquire(Request(1, 0), kStart);
  while (actions[0].kind == EntryAction::Kind::kAsk) {
    asked.insert(actions[0].engine);
    actions = scheduler.OnReply(1, actions[0].ask, Rejected(RejectReason::kOverloaded), kStart);
  }
  cr_assert(asked.size() == kEngines);
  cr_assert(actions[0].refusal == EntryRefusal::kOverloaded);
  cr_assert(actions[0].retry_after == seconds(2), "it is told when to come back");
}

Test(entry, retries_are_bounded_by_the_budget) {
  EntryScheduler scheduler = MakeScheduler(2);
  int allowed = 0;
  for (RequestId id = 1; id <= 50; ++id) {
    EntryRequest retry = Request(id);
    retry.purpose = SlotPurpose::kRetry;
    if (scheduler.Acquire(retry, kStart)[0].kind == EntryAction::Kind::kAsk) ++allowed;
  }
  cr_assert(allowed == 3, "%d without first tries", allowed);
  for (RequestId id = 100; id < 120; ++id) {
    EntryRequest first = Request(id);
    first.retry_ratio = 0.1;
    scheduler.Acquire(first, kStart);
  }
  EntryRequest retry = Request(200);
  retry.purpose = SlotPurpose::kRetry;
  cr_assert(scheduler.Acquire(retry, kStart)[0].kind == EntryAction::Kind::kAsk);
}

// In a fleet of two, a retry whose engines have both failed once is not given up.
Test(entry, a_retry_may_go_back_to_an_engine_that_failed) {
  EntryScheduler scheduler = MakeScheduler(2);
  EntryRequest retry = Request(1);
  retry.purpose = SlotPurpose::kRetry;
  retry.excluded = {"e0", "e1"};
  cr_assert(scheduler.Acquire(retry, kStart)[0].kind == EntryAction::Kind::kAsk);
  EntryRequest continued = Request(2);
  continued.purpose = SlotPurpose::kContinuation;
  continued.excluded = {"e0", "e1"};
  cr_assert(scheduler.Acquire(continued, kStart)[0].refusal == EntryRefusal::kNoBackend);
}

Test(entry, a_tenant_is_held_to_its_share) {
  EntryScheduler scheduler = MakeScheduler(1);
  int admitted = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    EntryRequest request = Request(id);
    request.limits = {5, 100};
    const EntryActions actions = scheduler.Acquire(request, kStart);
    if (actions[0].kind == EntryAction::Kind::kAsk) {
      ++admitted;
    } else {
      cr_assert(actions[0].refusal == EntryRefusal::kRateLimited);
      cr_assert(actions[0].retry_after >= seconds(1));
    }
  }
  cr_assert(admitted == 5);
}

Test(entry, a_failing_engine_is_avoided_for_a_while) {
  EntryScheduler scheduler = MakeScheduler(2);
  for (RequestId id = 1; id <= 20; ++id) {
    const EntryActions actions = scheduler.Acquire(Request(id), kStart);
    AskReply grant;
    grant.granted = true;
    scheduler.OnReply(id, actions[0].ask, grant, kStart);
    scheduler.Release(id, actions[0].engine == "e0" ? SlotEnd::kFailed : SlotEnd::kServed, {},
                      kStart);
  }
  for (RequestId id = 100; id < 120; ++id) {
    cr_assert(scheduler.Acquire(Request(id), kStart)[0].engine == "e1");
  }
}

}  // namespace
}  // namespace cartsail
