#include "cartsail/dispatch/attempt_outcome.h"

#include <random>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const std::vector<AttemptOutcome> kAll = {
    AttemptOutcome::kAnswered,   AttemptOutcome::kFailedAnswer,  AttemptOutcome::kNotSent,
    AttemptOutcome::kRefused,    AttemptOutcome::kWrongInstance, AttemptOutcome::kCut,
    AttemptOutcome::kSpoilt,     AttemptOutcome::kSilent,        AttemptOutcome::kTimedOut,
    AttemptOutcome::kCallerGone, AttemptOutcome::kWithheld};

RouteRule MakeRoute(RequestKind kind, int64_t attempts, bool resumable = false) {
  RouteRule route;
  route.kind = kind;
  route.max_attempts = attempts;
  route.resumable = resumable;
  return route;
}

Test(attempts, a_run_once_request_is_retried_only_when_it_has_not_run) {
  const RouteRule route = MakeRoute(RequestKind::kOnce, 3);
  AttemptHistory history;
  history.attempts = 1;
  cr_assert(MayRetry(route, AttemptOutcome::kRefused, history));
  cr_assert(MayRetry(route, AttemptOutcome::kWrongInstance, history));
  cr_assert(MayRetry(route, AttemptOutcome::kNotSent, history));
  cr_assert(MayRetry(route, AttemptOutcome::kWithheld, history));
  history.may_have_run = 1;
  for (const AttemptOutcome outcome : kAll) cr_assert(!MayRetry(route, outcome, history));
}

Test(attempts, a_repeatable_request_is_limited_to_its_attempts) {
  const RouteRule route = MakeRoute(RequestKind::kRepeatable, 2);
  AttemptHistory history;
  history.attempts = 1;
  history.may_have_run = 1;
  cr_assert(MayRetry(route, AttemptOutcome::kCut, history));
  cr_assert(MayRetry(route, AttemptOutcome::kFailedAnswer, history));
  cr_assert(!MayRetry(route, AttemptOutcome::kTimedOut, history));
  history.attempts = 2;
  history.may_have_run = 2;
  cr_assert(!MayRetry(route, AttemptOutcome::kCut, history));
}

Test(attempts, a_stream_is_retried_only_when_it_is_resumable) {
  AttemptHistory history;
  history.attempts = 1;
  history.may_have_run = 1;
  cr_assert(!MayRetry(MakeRoute(RequestKind::kStream, 2), AttemptOutcome::kCut, history));
  cr_assert(MayRetry(MakeRoute(RequestKind::kStream, 2, true), AttemptOutcome::kCut, history));
}

// Random outcomes for random routes: a request that may run only once runs at most once, and the
// attempts stay within their limit.
Test(attempts, random_histories_keep_the_retry_rules) {
  std::mt19937 random(7);
  for (int seed = 0; seed < 1000; ++seed) {
    const auto kind = static_cast<RequestKind>(random() % 3);
    const bool resumable = kind == RequestKind::kStream && random() % 2 == 0;
    const RouteRule route = MakeRoute(kind, 1 + static_cast<int64_t>(random() % 3), resumable);
    const bool repeats = kind == RequestKind::kRepeatable || resumable;
    AttemptHistory history;
    int64_t runs = 0;
    AttemptOutcome outcome = AttemptOutcome::kNotSent;
    do {
      outcome = kAll[random() % kAll.size()];
      if (outcome == AttemptOutcome::kNotSent) {
        ++history.connects_failed;
        continue;
      }
      ++history.attempts;
      if (!ProvablyNotRun(outcome)) {
        ++history.may_have_run;
        ++runs;
      }
    } while (MayRetry(route, outcome, history));
    cr_assert(runs <= (repeats ? route.max_attempts : 1));
    cr_assert(history.attempts + history.connects_failed <= 4);
  }
}

}  // namespace
}  // namespace cartsail
