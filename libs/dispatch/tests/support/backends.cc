#include "support/backends.h"

namespace cartsail::testing {

Backend MakeBackend(const std::string& id, int64_t started_ms) {
  Backend backend;
  backend.id = id;
  backend.started_ms = started_ms;
  backend.service = "s";
  backend.address = id + ":1";
  backend.zone = "z1";
  backend.slots = 8;
  return backend;
}

}  // namespace cartsail::testing
