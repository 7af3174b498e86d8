// What nodes tell each other of usage.
#pragma once

#include <cstdint>
#include <vector>

#include "cartsail/duties/usage_collector.h"

namespace cartsail {

// What the sender has counted, for the nodes that may report it.
struct UsageShares {
  uint32_t process = 0;  // of the sender
  std::vector<UsageShare> shares;
};

// All that this process has counted in these windows is known to the sender.
struct UsageReceipt {
  uint32_t process = 0;
  std::vector<WindowNumber> windows;
};

}  // namespace cartsail
