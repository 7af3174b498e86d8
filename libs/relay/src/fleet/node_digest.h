// Periodic report of a node to the coordinators of its requests. A plain struct.
#pragma once

#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/dispatch/grant_book.h"

namespace cartsail {

struct NodeDigest {
  std::string node;
  Duration interval{};  // time until the next digest
  // Excludes loads that the receiving coordinator placed itself.
  DispatchDigest dispatch;
  // This node's placement questions to the receiving coordinator whose requests have not ended.
  std::vector<PlacementQueryId> live_questions;
};

}  // namespace cartsail
