// Hosts of nodes, IPv4 addresses as text, as the numbers that messages carry.
#pragma once

#include <cstdint>
#include <string>

namespace cartsail {

// 0 when the text is no IPv4 address.
uint32_t HostNumber(const std::string& host);

std::string HostText(uint32_t number);

}  // namespace cartsail
