// What each node tells the coordinators of its requests regularly. A plain struct.
#pragma once

#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/dispatch/grant_book.h"

namespace cartsail {

struct NodeDigest {
  std::string node;
  Duration interval{};  // to the next digest
  // Loads are without those that the coordinator placed itself.
  DispatchDigest dispatch;
  // This node's questions to that coordinator whose requests have not ended.
  std::vector<PlacementQueryId> live_questions;
};

}  // namespace cartsail
