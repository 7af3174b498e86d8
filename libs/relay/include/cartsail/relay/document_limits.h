// How long each step may take on which a change of the routing document reaches a node, derived
// from the time in which it has to be in force everywhere. Pure.
#pragma once

#include "cartsail/base/clock.h"

namespace cartsail {

struct DocumentLimits {
  // A node that knows of a newer document, and has not got it from its peers for so long, reads
  // the store itself.
  Duration direct_read_when_behind;
  // A node that has not heard for so long, itself or by peers, that its document is the newest
  // reads the store itself.
  Duration direct_read_when_unconfirmed;
  // A document that was last known to be the newest longer ago does not justify refusing unknown
  // routes and keys for good: the route may have been added more than the deadline ago.
  Duration max_age_to_refuse_unknown;
  // A watch at the store ends after the least of these and a share of the spread, which differs
  // from node to node, so that one of the readers soon asks again and tells the others. Each end
  // costs a call of the store, and a store that drops its history may leave a waiting watch in the
  // dark.
  Duration min_watch;
  Duration watch_jitter;
};

// `deadline`: from the store's acknowledgement until a document has to be in force everywhere.
// A third of it is left for the call of the store and for telling the others: of the shortest
// deadline, 2 s, that is 0.67 s, where a call takes 4 ms and telling 480 nodes 0.3 s.
constexpr DocumentLimits DocumentLimitsFor(Duration deadline) {
  return {deadline / 4, deadline * 2 / 3, deadline * 2 / 3, deadline * 7 / 10, deadline / 2};
}

}  // namespace cartsail
