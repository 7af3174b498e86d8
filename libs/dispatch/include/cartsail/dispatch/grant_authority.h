// Which node may grant requests to metered back ends, and how much of what they bear. Pure.
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

struct GrantAuthority {
  bool to_cold = false;
  double limited_share = 0;  // of the rate that a limited back end named; 0: it may grant nothing
};

// Only the first coordinator has one. A node that knows of no other is the whole fleet.
//
// Cold back ends: only one that sees a majority. Of two sides of a fleet that is cut in parts, one
// has it at most; without it the parts together would use more than the back end bears.
//
// Limited back ends: each part has the share of its nodes among all that it knows of, so that the
// parts together use the rate once. A back end is cold for seconds, but may be limited for long:
// with the majority alone a service whose back ends are all limited would be refused for the 5
// minutes for which lost nodes are counted.
GrantAuthority GrantAuthorityOf(const FleetView& view);

}  // namespace cartsail
