// Bounds on the requests that one node grants to each metered back end: one that bears or takes
// only so many from all nodes together, in touch with each other or not. Pure.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_notices.h"

namespace cartsail {

// A request is sent to a metered back end within this time from its grant, or not at all: a node
// that was frozen with grants must not send all of them at once when it goes on. A new connection
// takes some milliseconds.
inline constexpr Duration kGrantLifetime = milliseconds(250);

// At most so many grants within any span of `window`.
struct GrantAllowance {
  int64_t most = 1;
  Duration window{};
  TimePoint since = TimePoint::min();  // those before do not count
};

// Remembers the requests that this node placed at each back end, metered or not: one that becomes
// metered has already got some.
class GrantLimiter {
 public:
  // Of allowances of more than one grant; longer ones are not kept to.
  static constexpr Duration kLongestWindow = seconds(4) + kGrantLifetime;
  // The newest grant is remembered for so long, for allowances of one.
  static constexpr Duration kLongestPause = seconds(60);

  void NoteGrant(BackendKey backend, TimePoint now);

  // The time until one more request may be granted; 0: now.
  Duration WaitFor(BackendKey backend, const GrantAllowance& allowance, TimePoint now) const;

  // Drops what has passed. To be called about once a second.
  void Expire(TimePoint now);

 private:
  std::unordered_map<BackendKey, std::vector<TimePoint>> granted_;  // in their order
};

}  // namespace cartsail
