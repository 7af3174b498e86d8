#include "cartsail/dispatch/attempt_outcome.h"

namespace cartsail {
namespace {

// Maximum number of back ends tried for one request, including refusals and failed connections.
constexpr int64_t kMaxOffers = 4;

bool MayRunTwice(const RouteRule& route) {
  if (route.kind == RequestKind::kRepeatable) return true;
  return route.kind == RequestKind::kStream && route.resumable;
}

}  // namespace

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kFailedAnswer:
      return "failed_answer";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kWrongInstance:
      return "wrong_instance";
    case AttemptOutcome::kCut:
      return "cut";
    case AttemptOutcome::kSpoilt:
      return "spoilt";
    case AttemptOutcome::kSilent:
      return "silent";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kCallerGone:
      return "caller_gone";
    case AttemptOutcome::kWithheld:
      return "withheld";
    case AttemptOutcome::kGivenUp:
      return "given_up";
    case AttemptOutcome::kNoPath:
      return "no_path";
    case AttemptOutcome::kPathLost:
      return "path_lost";
  }
  return "unknown";
}

bool ProvablyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kRefused ||
         outcome == AttemptOutcome::kWrongInstance || outcome == AttemptOutcome::kWithheld ||
         outcome == AttemptOutcome::kNoPath;
}

bool MayRetry(const RouteRule& route, AttemptOutcome outcome, const AttemptHistory& history) {
  if (outcome == AttemptOutcome::kAnswered || outcome == AttemptOutcome::kTimedOut ||
      outcome == AttemptOutcome::kCallerGone || outcome == AttemptOutcome::kGivenUp) {
    return false;
  }
  if (history.attempts + history.connects_failed >= kMaxOffers) return false;
  if (history.may_have_run >= route.max_attempts) return false;
  if (history.may_have_run > 0 && !MayRunTwice(route)) return false;
  return ProvablyNotRun(outcome) || MayRunTwice(route);
}

}  // namespace cartsail
