// Where a request is placed, as the dispatcher chose it and as a coordinator tells it to the node
// that asked. Pure.
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
  std::string fetch_prefix_from;    // address of an engine that holds more of the prompt; or empty
  BackendKey fetch_prefix_key = 0;  // the same engine; 0: none
  std::string placed_by;            // the node that chose; empty: this one
  double expected_loss = 0;         // by which it was chosen, in requests that miss their goal
  double prefill_ms = 0;            // expected time to read the prompt
  double first_output_ms = 0;       // expected time to the first output
  int64_t held_tokens = 0;
  int64_t candidates = 0;
  BackendLoad load;  // at the back end before this request
  // The back end is metered: the request is sent until then or not at all.
  std::optional<TimePoint> send_by;
  // Whoever chose knew the rate words on the back end that this node had read by then.
  TimePoint rate_notices_known{};
};

// The same in a message: back ends are named by their keys.
struct PlacementGrant {
  BackendKey backend = 0;
  BackendKey fetch_prefix_from = 0;  // 0: none
  double expected_loss = 0;
  double prefill_ms = 0;
  double first_output_ms = 0;
  int64_t held_tokens = 0;
  int64_t candidates = 0;
  int64_t load_requests = 0;  // at the back end before this request
  bool is_metered = false;    // the back end: it was counted among what all nodes may send it
};

// Who asks for a placement.
struct Requester {
  std::string node;  // empty: this node
  std::string zone;
  std::vector<BackendKey> connected;  // back ends to which it has an idle connection
};

// What the request may go on with is written by the back end's version, or by any.
inline bool MatchesVersion(const RequestProfile& profile, const Backend& backend) {
  return profile.version.empty() || profile.version == backend.version;
}

PlacementGrant GrantOf(const Placement& placement);

}  // namespace cartsail
