// Back ends for tests of the dispatch library.
#pragma once

#include <string>

#include "cartsail/dispatch/backend_registry.h"

namespace cartsail::testing {

// A ready back end of service "s" in zone "z1", with 8 slots, at an address of its own.
Backend MakeBackend(const std::string& id, int64_t started_ms);

}  // namespace cartsail::testing
