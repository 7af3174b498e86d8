#include "cartsail/quarantine/request_fingerprint.h"

#include <fmt/format.h>

#include <charconv>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

constexpr size_t kDigits = 16;

}  // namespace

RequestFingerprint FingerprintOf(const RequestIdentity& identity) {
  RequestFingerprint fingerprint = 0;
  // Each hash seeds the next, so that moving bytes from one field to another changes the result.
  for (const std::string_view field :
       {identity.method, identity.host, identity.target, identity.caller, identity.body}) {
    fingerprint = Hash64(field, fingerprint);
  }
  return fingerprint;
}

std::string FingerprintText(RequestFingerprint fingerprint) {
  return fmt::format("{:016x}", fingerprint);
}

bool ParseFingerprint(std::string_view text, RequestFingerprint* fingerprint) {
  if (text.size() != kDigits) return false;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *fingerprint, 16);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace cartsail
