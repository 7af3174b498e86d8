// Time limits for the steps by which a change of the routing document or of the back ends reaches a
// node, derived from the deadline by which it must be in force everywhere. No I/O.
#pragma once

#include "cartsail/base/clock.h"

namespace cartsail {

struct DocumentLimits {
  // A node that knows of a newer document and has not received it from its peers for this long
  // reads the store itself.
  Duration direct_read_when_behind;
  // A node that knows that a peer has changes of the back ends which this node has not received for
  // this long reads the store itself. Longer than two fetches from peers, one of them from another
  // zone.
  Duration direct_read_when_list_behind;
  // A node reads the store itself if neither the store nor a peer has confirmed for this long that
  // its document is the newest.
  Duration direct_read_when_unconfirmed;
  // A node sends no request by a list of back ends that was verified longer ago than this. The rest
  // of the deadline is for the change to reach its peers, and for the request to be sent.
  Duration max_list_age_to_send;
  // A document that was last confirmed as the newest longer ago than this does not justify refusing
  // unknown routes and keys for good: the route may have been added more than the deadline ago.
  Duration max_age_to_refuse_unknown;
  // A watch at the store times out after `min_watch` plus a share of `watch_jitter` that differs
  // between nodes, so that one of the readers soon asks again and informs the others. Each time-out
  // costs a call of the store; a store that drops its history may never answer a waiting watch.
  Duration min_watch;
  Duration watch_jitter;
};

// `deadline`: time from the store's acknowledgement until a document must be in force everywhere.
// A third of it is left for the call of the store and for informing the other nodes. With the
// shortest deadline, 2 s, that is 0.67 s; a call takes 4 ms and informing 480 nodes takes 0.3 s.
constexpr DocumentLimits DocumentLimitsFor(Duration deadline) {
  return {deadline / 4,     deadline / 2,      deadline * 2 / 3, deadline / 2,
          deadline * 2 / 3, deadline * 7 / 10, deadline / 2};
}

}  // namespace cartsail
