// Decides when the holder of a duty may act on it. A duty is work that at most one node of the
// fleet does at a time; a record in the store, written under a lease, names its holder. Reads no
// clock: the time is an argument of each call.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "cartsail/base/clock.h"

namespace cartsail {

// Orders the acquisitions of a duty: each has a greater token than all before it.
using FencingToken = int64_t;

struct LeaseTiming {
  // Length of the lease in the store. A node that regains the duty waits this long after its last
  // action, plus `slack`, so that actions of two nodes never alternate (A, B, A).
  Duration lease = seconds(3);
  // Margin for calls in flight when a lease ends or a process restarts: a call that was sent
  // arrives within this time unless the network delays it.
  Duration slack = milliseconds(300);
};

class HolderLease {
 public:
  // `may_have_acted`: latest time at which an earlier process of this node may have acted, that is
  // the start of this process; the default TimePoint if there was no earlier process.
  HolderLease(LeaseTiming timing, TimePoint may_have_acted)
      : timing_(timing), last_act_(may_have_acted) {}

  // The duty's record was written with `token` under a lease that was requested at `requested_at`.
  void OnAcquired(FencingToken token, TimePoint requested_at);

  // The store renewed the lease on a call made at `requested_at`. Has no effect if the lease had
  // expired by this node's clock when the call was made.
  void OnRenewed(TimePoint requested_at);

  // The duty was released, or another node holds it.
  void OnLost() { token_.reset(); }

  // This node acted at `now`, or a call that it made ended.
  void NoteAct(TimePoint now) { last_act_ = std::max(last_act_, now); }

  // True while the lease is valid. Counted from the request, so it ends before the store's lease.
  bool IsHeld(TimePoint now) const { return token_.has_value() && now < valid_until_; }

  // The token to act with at `now`; empty if this node may not act.
  std::optional<FencingToken> MayAct(TimePoint now) const;

  // The token of the valid lease; empty if there is none. The node may not yet act with it.
  std::optional<FencingToken> Token(TimePoint now) const;

  TimePoint ValidUntil() const { return valid_until_; }

 private:
  TimePoint EndOf(TimePoint requested_at) const {
    return requested_at + timing_.lease - timing_.slack;
  }

  LeaseTiming timing_;
  std::optional<FencingToken> token_;
  TimePoint valid_until_{};
  TimePoint acts_from_{};  // earliest action under `token_`
  TimePoint last_act_;     // under any token of this node
};

}  // namespace cartsail
