// Hashes: a fast one for placement and a cryptographic one for secrets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cartsail {

// 64-bit xxHash of `data`. Stable over processes and releases: placement depends on it.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// SHA-256 of `data` in lower-case hexadecimal (64 characters).
std::string Sha256Hex(std::string_view data);

// Compares in time that depends only on the lengths.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

// `bytes` random bytes from the system's generator, in hexadecimal.
std::string RandomHex(int bytes);

}  // namespace cartsail
