// Messages between a node and the coordinator of a service: the question where to place a request,
// the answer, and the progress of the request.
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
  std::vector<BackendKey> connected;  // back ends to which the asking node has an idle connection
  // The latest rate limits of the service's back ends that the asking node knows.
  std::vector<BackendRateNotice> rate_words;
  // The same for the rejections per second that brittle back ends can sustain.
  std::vector<BackendRateNotice> brittle_words;
};

struct PlacementAnswer {
  PlacementQueryId id = 0;
  std::optional<PlacementGrant> grant;  // nullopt: the coordinator has no back end for the request
  // Set if only metered back ends are left and none may get the request now: the time after which
  // a retry makes sense.
  std::optional<Duration> metered_wait;
  bool heard_rate_words = false;  // the coordinator has processed those of the question
};

// Reports the first output of a request, or its end.
struct RequestProgress {
  PlacementQueryId id = 0;
  bool ended = false;
  std::optional<AttemptOutcome> outcome;  // if ended; nullopt: unknown
  StreamPauses pauses;                    // if ended
};

struct ProgressReport {
  std::vector<RequestProgress> entries;
};

}  // namespace cartsail
