// Loopback addresses for tests and the soak.
#pragma once

#include <unistd.h>

#include <string>

namespace cartsail::testing {

// Address `number` (1 to 254) of this process: no other one that runs has it, so that several may
// run at once.
inline std::string OwnHost(int number) {
  constexpr int kBlocks = 60000;
  constexpr int kBlocksOfOctet = 250;
  const int block = static_cast<int>(getpid() % kBlocks);
  return "127." + std::to_string(1 + block / kBlocksOfOctet) + "." +
         std::to_string(1 + block % kBlocksOfOctet) + "." + std::to_string(number);
}

}  // namespace cartsail::testing
