// Limits the requests that one node grants to each metered back end, one that accepts a limited
// number from all nodes together, whether or not these can communicate. Performs no I/O.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_notices.h"

namespace cartsail {

// A request is sent to a metered back end within this time from its grant, or not at all: a node
// that was suspended while holding grants must not send all of them at once when it resumes.
// Opening a connection takes some milliseconds.
inline constexpr Duration kGrantLifetime = milliseconds(250);

// At most `most` grants within any span of `window`.
struct GrantAllowance {
  int64_t most = 1;
  Duration window{};
  TimePoint since = TimePoint::min();  // earlier grants do not count
};

// Records the requests that this node placed at each back end, metered or not, because a back end
// that becomes metered may just have received some.
class GrantLimiter {
 public:
  // Longest window that is enforced for allowances of more than one grant.
  static constexpr Duration kLongestWindow = seconds(4) + kGrantLifetime;
  // Longest window that is enforced for allowances of one grant: the newest grant is kept this
  // long.
  static constexpr Duration kLongestSingleGrantWindow = seconds(60);

  void NoteGrant(BackendKey backend, TimePoint now);

  // Time until one more request may be granted; 0: now.
  Duration WaitFor(BackendKey backend, const GrantAllowance& allowance, TimePoint now) const;

  // Drops grants that no allowance counts any more. To be called about once a second.
  void Expire(TimePoint now);

 private:
  std::unordered_map<BackendKey, std::vector<TimePoint>> granted_;  // oldest first
};

}  // namespace cartsail
