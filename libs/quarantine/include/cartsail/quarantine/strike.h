// One engine's end, held against one of the requests that ran there. Plain structs.
#pragma once

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/quarantine/request_fingerprint.h"

namespace cartsail {

// The back end ended without notice while it had the request. Most requests that run at such a back
// end are innocent; the one that ends every back end that runs it collects strikes.
struct Strike {
  RequestFingerprint request = 0;
  BackendKey backend = 0;
  TimePoint when{};  // when the connection broke

  bool operator==(const Strike& other) const = default;
};

// Different back ends that may end under a request before it is kept from all others. With two, a
// request whose first back end and whose repeat's both end by chance would be refused; each further
// one costs a back end with all that runs there.
inline constexpr size_t kStrikesToQuarantine = 3;

// Back ends that end within that time may have ended for one reason in common: a request that is
// in flight everywhere is in flight there too.
inline constexpr Duration kSimultaneousExitWindow = milliseconds(50);

}  // namespace cartsail
