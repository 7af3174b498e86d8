// The outcome of one attempt to send a request to a back end, and whether the request may be sent
// to another one. Performs no I/O.
#pragma once

#include <cstdint>
#include <string_view>

#include "cartsail/routing/routing_document.h"

namespace cartsail {

enum class AttemptOutcome {
  kAnswered,       // complete answer that is passed on to the caller
  kFailedAnswer,   // complete answer reporting that the request ran and failed
  kNotSent,        // no connection was established; nothing was sent
  kRefused,        // the back end stated that it did not run the request
  kWrongInstance,  // another incarnation has the address and did not run the request
  kCut,            // the connection was lost after bytes may have been sent
  kSpoilt,         // the bytes received are not an answer to this request
  kSilent,         // no data arrived for long, and another back end has taken over
  kTimedOut,       // the deadline of the request passed
  kCallerGone,
  // The back end began to leave, its zone was drained, or it became cold after it was chosen.
  // Nothing was sent, so the outcome does not affect the back end's health.
  kWithheld,
  // This node cancelled the attempt because back ends end while they run this request. The outcome
  // does not affect the health of the back end tried last.
  kGivenUp,
  // kNoPath: this node found no network path to the back end, and nothing was sent. kPathLost: the
  // path was lost when the request may have been sent. Neither affects the back end's health.
  kNoPath,
  kPathLost,
};

inline constexpr int kAttemptOutcomes = 14;  // number of enumerators

std::string_view AttemptOutcomeName(AttemptOutcome outcome);

// True when the back end provably did not run the request.
bool ProvablyNotRun(AttemptOutcome outcome);

// What one request has used up so far.
struct AttemptHistory {
  int64_t attempts = 0;      // back ends to which bytes of the request were sent
  int64_t may_have_run = 0;  // of `attempts`, those that did not report a refusal
  int64_t connects_failed = 0;
  bool output_delivered = false;  // part of an answer has been passed to the caller
};

// True when the request may be sent to one more back end after `outcome`. Does not check the time
// left or the retry budget; the caller does.
bool MayRetry(const RouteRule& route, AttemptOutcome outcome, const AttemptHistory& history);

}  // namespace cartsail
