// Limits for brittle back ends: those that crash when they have to reject too many requests in a
// second for lack of capacity, and whose capacity may shrink without notice. What all nodes
// together send to such a back end beyond its safe capacity stays within the number that it can
// reject. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/grant_limiter.h"

namespace cartsail {

// What one node may grant to a brittle back end.
struct BrittleAllowance {
  int64_t safe_requests = 0;  // concurrent requests there that this node knows of
  GrantAllowance beyond;      // limit on requests beyond `safe_requests`; `most` 0: none
};

// `tolerated_rejections_per_s`: rejections a second that the back end tolerates. `share`: fraction
// of the fleet that this node sees and grants for, 0 to 1.
BrittleAllowance AllowanceOfBrittle(double tolerated_rejections_per_s, double share, int64_t slots);

class BrittleBackEnds {
 public:
  // Records that a back end has rejected a request. It gets no further request for one window,
  // because those already in flight may be rejected too.
  void NoteRejection(BackendKey backend, TimePoint now) { last_rejections_[backend] = now; }

  // Time until the back end may get one more request while it has `requests`; 0: now.
  Duration WaitFor(BackendKey backend, const BrittleAllowance& allowance, int64_t requests,
                   const GrantLimiter& grants, TimePoint now) const;

  // To be called about once a second.
  void Expire(TimePoint now);

 private:
  std::unordered_map<BackendKey, TimePoint> last_rejections_;  // time of the last rejection
};

}  // namespace cartsail
