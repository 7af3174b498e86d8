// Which node may grant requests to cold back ends. Pure.
#pragma once

#include <cstdint>

namespace cartsail {

// The fleet as one node sees it.
struct FleetView {
  bool is_first = false;    // in rank as coordinator of the service
  bool is_settled = false;  // up for long enough that it knows the others and they know it
  int64_t live = 0;         // other nodes that it holds for live
  int64_t known = 0;        // other hosts that it knows of, lost ones included
};

enum class ColdRight { kNo, kYes };

// Only the first coordinator, and only one that sees a majority: of two sides of a fleet that is
// cut in parts, one has it at most. Without the majority each part would use the share of one node,
// and the parts together more than the back end bears. A node that knows of no other is the whole
// fleet.
ColdRight ColdRightOf(const FleetView& view);

}  // namespace cartsail
