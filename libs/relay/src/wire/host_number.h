// Conversion of node hosts between IPv4 text and the 32-bit numbers used in messages.
#pragma once

#include <cstdint>
#include <string>

namespace cartsail {

// Returns 0 when `host` is not an IPv4 address.
uint32_t HostNumber(const std::string& host);

std::string HostText(uint32_t number);

}  // namespace cartsail
