// Tells whether two requests are the same one sent again: callers that try again give each try an
// id of its own. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cartsail {

using RequestFingerprint = uint64_t;

// What stays the same when a request is sent again.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // path and query
  std::string_view caller;  // the tenant; empty where the route needs no key
  std::string_view body;
};

// Stable over processes and nodes.
RequestFingerprint FingerprintOf(const RequestIdentity& identity);

// 16 lower-case hexadecimal digits, as in logs and in the store.
std::string FingerprintText(RequestFingerprint fingerprint);

// Reads FingerprintText(); false when `text` is not that.
bool ParseFingerprint(std::string_view text, RequestFingerprint* fingerprint);

}  // namespace cartsail
