// A fast hash for placement, and cryptographic helpers for secrets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cartsail {

// 64-bit xxHash of `data`. Stable across processes and releases, because placement depends on it.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// SHA-256 of `data` in lower-case hexadecimal (64 characters).
std::string Sha256Hex(std::string_view data);

// Compares in time that does not depend on the contents, only on the lengths.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

// `bytes` cryptographically random bytes in lower-case hexadecimal (2 * `bytes` characters).
std::string RandomHex(int bytes);

}  // namespace cartsail
