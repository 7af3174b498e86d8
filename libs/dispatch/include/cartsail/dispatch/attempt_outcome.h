// How one attempt at a back end ended, and what may be done next. Pure.
#pragma once

#include <cstdint>
#include <string_view>

#include "cartsail/routing/routing_document.h"

namespace cartsail {

enum class AttemptOutcome {
  kAnswered,       // a whole answer that is passed on
  kFailedAnswer,   // a whole answer that tells a failure of a request that ran
  kNotSent,        // no connection: nothing was sent
  kRefused,        // the back end says that it did not run the request
  kWrongInstance,  // another start of a back end has the address; it did not run the request
  kCut,            // the connection broke after bytes may have been sent
  kSpoilt,         // bytes that are no answer to this request
  kSilent,         // nothing came for too long
  kTimedOut,       // the request's own time ended
  kCallerGone,
  // The back end began to leave, its zone was drained, or it became cold after it was chosen:
  // nothing was sent, and it says nothing about the back end.
  kWithheld,
  // This node broke it off, since back ends end under the request: it says nothing about this one.
  kGivenUp,
  // No way to the back end was found from here, and nothing was sent; or one was lost while the
  // request may have been sent. Neither says anything about the back end.
  kNoPath,
  kPathLost,
};

inline constexpr int kAttemptOutcomes = 14;  // the number of them

std::string_view AttemptOutcomeName(AttemptOutcome outcome);

// True when the back end provably did not run the request.
bool ProvablyNotRun(AttemptOutcome outcome);

// What one request has used so far.
struct AttemptHistory {
  int64_t attempts = 0;      // back ends that bytes of the request were sent to
  int64_t may_have_run = 0;  // of these, those that did not say that they refused
  int64_t connects_failed = 0;
  bool output_delivered = false;  // the caller has seen part of an answer
};

// True when the request may go to one more back end after `outcome`. Not for the time left or the
// retry budget, which the caller checks.
bool MayRetry(const RouteRule& route, AttemptOutcome outcome, const AttemptHistory& history);

}  // namespace cartsail
