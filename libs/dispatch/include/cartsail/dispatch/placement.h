// The placement of a request, as chosen by the dispatcher and as sent by a coordinator to the node
// that asked for it. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/load_ledger.h"
#include "cartsail/dispatch/request_profile.h"

namespace cartsail {

using PlacementTicket = uint64_t;

struct Placement {
  PlacementTicket ticket = 0;
  Backend backend;
  std::string fetch_prefix_from;  // address of an engine that holds more of the prompt; empty: none
  BackendKey fetch_prefix_key = 0;  // key of that engine; 0: none
  std::string placed_by;            // node that chose; empty: this node
  double expected_loss = 0;         // cost by which it was chosen, in requests that miss their goal
  double prefill_ms = 0;            // expected prefill time
  double first_output_ms = 0;       // expected time to the first output
  int64_t held_tokens = 0;
  int64_t candidates = 0;
  BackendLoad load;  // at the back end before this request
  // Deadline for sending the request to a metered back end; absent: not metered.
  std::optional<TimePoint> send_by;
  // The node that chose knew the rate notices on the back end that this node had read by this time.
  TimePoint rate_notices_known{};
};

// A placement in a message; back ends are identified by their keys.
struct PlacementGrant {
  BackendKey backend = 0;
  BackendKey fetch_prefix_from = 0;  // 0: none
  double expected_loss = 0;
  double prefill_ms = 0;
  double first_output_ms = 0;
  int64_t held_tokens = 0;
  int64_t candidates = 0;
  int64_t load_requests = 0;  // at the back end before this request
  bool is_metered = false;    // the back end is metered, and the grant counts against its limits
};

// The node that asks for a placement.
struct Requester {
  std::string node;  // empty: this node
  std::string zone;
  std::vector<BackendKey> connected;  // back ends to which it has an idle connection
};

// True when the back end may serve the request as far as its version matters: a request that
// resumes a stream needs the version that began it.
inline bool MatchesVersion(const RequestProfile& profile, const Backend& backend) {
  return profile.version.empty() || profile.version == backend.version;
}

PlacementGrant GrantOf(const Placement& placement);

}  // namespace cartsail
