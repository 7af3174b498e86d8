// Messages by which nodes lend each other retries. Plain structs.
#pragma once

#include <cstdint>
#include <string>

namespace cartsail {

// Asks for one retry of `service` out of the receiver's budget.
struct RepeatQuestion {
  uint32_t id = 0;
  std::string service;
};

struct RepeatAnswer {
  uint32_t id = 0;  // of the question
  bool lent = false;
};

}  // namespace cartsail
