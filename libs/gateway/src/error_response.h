// The one form of a failure told to a caller.
#pragma once

#include <absl/status/status.h>

#include <string>

#include "cartsail/base/clock.h"
#include "cartsail/base/status.h"
#include "cartsail/net/http_types.h"

namespace cartsail {

struct Failure {
  absl::Status status;
  Outcome outcome = Outcome::kNotRun;
  Duration retry_after{};  // 0: none given
  std::string stream;      // where the answer may be resumed, if known
};

// {"error": {"kind", "message", "outcome", "retry_after_ms"?, "stream"?}} with the HTTP status of
// the kind and a Retry-After header where a time is given.
HttpResponse FailureResponse(const Failure& failure);

// The same object as a server-sent event called "error", for answers already begun.
std::string FailureEvent(const Failure& failure);

// Counts the failure by outcome.
void CountFailure(const Failure& failure);

}  // namespace cartsail
