#include "cartsail/quarantine/request_fingerprint.h"

#include <array>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const RequestIdentity kIdentity{"POST", "chat.example", "/a/b", "tenant-1", "prompt"};

Test(request_fingerprint, the_same_request_has_the_same_fingerprint) {
  cr_assert(FingerprintOf(kIdentity) == FingerprintOf(kIdentity));
}

Test(request_fingerprint, each_part_counts) {
  std::array<RequestIdentity, 6> others;
  others.fill(kIdentity);
  others[0].method = "GET";
  others[1].host = "other.example";
  others[2].target = "/a/c";
  others[3].caller = "tenant-2";
  others[4].body = "prompt.";
  // Bytes that moved from one field to another.
  others[5].host = "chat.example/a";
  others[5].target = "/b";
  for (const RequestIdentity& other : others) {
    cr_assert(FingerprintOf(other) != FingerprintOf(kIdentity));
  }
}

Test(request_fingerprint, its_text_is_read_back) {
  RequestFingerprint read = 0;
  for (const RequestFingerprint written : {uint64_t{0}, uint64_t{17}, ~uint64_t{0}}) {
    cr_assert(ParseFingerprint(FingerprintText(written), &read));
    cr_assert(read == written);
  }
  for (const char* text : {"", "12", "00000000000000zz", "00000000000000011", " 000000000000001"}) {
    cr_assert(!ParseFingerprint(text, &read), "%s", text);
  }
}

}  // namespace
}  // namespace cartsail
