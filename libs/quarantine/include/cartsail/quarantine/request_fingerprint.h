// Identifies retries of one request by their content, since clients give each retry a new request
// id. Performs no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cartsail {

using RequestFingerprint = uint64_t;

// The parts of a request that stay the same when a client retries it.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // path and query
  std::string_view caller;  // tenant name; empty if the route needs no API key
  std::string_view body;
};

// The value is the same in all processes and on all nodes.
RequestFingerprint FingerprintOf(const RequestIdentity& identity);

// 16 lower-case hexadecimal digits, as used in logs and in the store.
std::string FingerprintText(RequestFingerprint fingerprint);

// Parses the format of FingerprintText(). Returns false if `text` is malformed; `*fingerprint` may
// be overwritten in that case.
bool ParseFingerprint(std::string_view text, RequestFingerprint* fingerprint);

}  // namespace cartsail
