// Which node may grant requests to metered back ends, and which share of what they accept. Performs
// no I/O.
#pragma once

#include <cstdint>

namespace cartsail {

// The fleet as one node sees it.
struct FleetView {
  bool is_first = false;    // first in rank among the coordinators of the service
  bool is_settled = false;  // up long enough for it and the other nodes to know each other
  int64_t live = 0;         // other nodes that it considers live
  int64_t known = 0;        // other nodes that it knows of, including lost ones
};

struct GrantAuthority {
  bool to_cold = false;
  double limited_share = 0;  // fraction of a rate-limited back end's rate; 0: none may be granted
};

// Only the first coordinator has any authority. A node that knows of no other node is the whole
// fleet.
//
// Cold back ends require a majority: in a partitioned fleet at most one side has the authority.
// Otherwise the sides together would exceed what the back end accepts.
//
// For rate-limited back ends each side of a partition gets the fraction of its nodes among all that
// it knows of, so that the sides together use the rate once. A back end is cold for seconds, but
// may be rate-limited for long: requiring a majority would refuse all requests to a service whose
// back ends are all rate-limited for the 5 minutes for which lost nodes are counted.
GrantAuthority GrantAuthorityOf(const FleetView& view);

}  // namespace cartsail
