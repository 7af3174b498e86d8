// What a node asks a coordinator, what the coordinator answers, and what the node then tells of the
// request. Plain structs.
#pragma once

#include <optional>
#include <vector>

#include "cartsail/dispatch/attempt_outcome.h"
#include "cartsail/dispatch/grant_book.h"
#include "cartsail/dispatch/pause_model.h"
#include "cartsail/dispatch/rate_limits.h"
#include "cartsail/dispatch/request_profile.h"

namespace cartsail {

struct PlacementQuestion {
  PlacementQueryId id = 0;
  RequestProfile profile;
  std::vector<BackendKey> tried;
  std::vector<BackendKey> connected;  // back ends to which the node has an idle connection
  // The newest that the node knows on back ends of the service.
  std::vector<BackendRateNotice> rate_words;
  // The same of the requests a second that brittle ones bear to turn away.
  std::vector<BackendRateNotice> brittle_words;
};

struct PlacementAnswer {
  PlacementQueryId id = 0;
  std::optional<PlacementGrant> grant;  // nothing: the coordinator knows no back end
  // Where only metered back ends are left, and none may get the request now: the time after which
  // it is worth to try again.
  std::optional<Duration> metered_wait;
  bool heard_rate_words = false;  // those of the question
};

// First output has come, or the request has ended.
struct RequestProgress {
  PlacementQueryId id = 0;
  bool ended = false;
  std::optional<AttemptOutcome> outcome;  // where ended and known
  StreamPauses pauses;                    // where ended
};

struct ProgressReport {
  std::vector<RequestProgress> entries;
};

}  // namespace cartsail
