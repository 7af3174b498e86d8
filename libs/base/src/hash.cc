#include "cartsail/base/hash.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <vector>

namespace cartsail {
namespace {

std::string ToHex(const unsigned char* bytes, size_t count) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(count * 2);
  for (size_t i = 0; i < count; ++i) {
    text.push_back(kDigits[bytes[i] >> 4]);
    text.push_back(kDigits[bytes[i] & 15]);
  }
  return text;
}

}  // namespace

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest);
  return ToHex(digest, sizeof(digest));
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomHex(int bytes) {
  std::vector<unsigned char> buffer(static_cast<size_t>(bytes));
  RAND_bytes(buffer.data(), bytes);
  return ToHex(buffer.data(), buffer.size());
}

}  // namespace cartsail
