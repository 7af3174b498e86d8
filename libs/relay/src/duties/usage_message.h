// Messages that nodes exchange about usage. Plain structs.
#pragma once

#include <cstdint>
#include <vector>

#include "cartsail/duties/usage_collector.h"

namespace cartsail {

// Counts of the sender, for the nodes that may report usage.
struct UsageShares {
  uint32_t process = 0;  // number of the sender's process
  std::vector<UsageShare> shares;
};

// Confirms that the sender has all counts of `process`, at the receiver's host, in `windows`.
struct UsageReceipt {
  uint32_t process = 0;
  std::vector<WindowNumber> windows;
};

}  // namespace cartsail
