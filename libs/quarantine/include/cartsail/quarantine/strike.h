// Strike: the exit of one backend process, counted against a request that ran there.
#pragma once

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/quarantine/request_fingerprint.h"
#include "cartsail/quarantine/shared_parts.h"

namespace cartsail {

// The backend exited unexpectedly while it had the request. Most requests at such a backend are
// harmless; the request that makes every backend exit accumulates strikes.
struct Strike {
  RequestFingerprint request = 0;
  BackendKey backend = 0;
  TimePoint when{};       // when the connection broke
  SharedParts in_flight;  // parts of the request that may have crashed it

  bool operator==(const Strike& other) const = default;
};

// Number of different backends that exit while running a request before it is quarantined. With
// two, a request whose first attempt and whose retry both met an unrelated exit would be refused;
// each further strike costs a backend with all requests that run there.
inline constexpr size_t kStrikesToQuarantine = 3;

// Backends that exit within this time may share another cause: a request that is in flight on all
// backends is in flight there too.
inline constexpr Duration kSimultaneousExitWindow = milliseconds(50);

}  // namespace cartsail
