// When a node that holds a duty may act on it. A duty is work that one node of the fleet does at a
// time; its holder is named by a record in the store under a lease. Pure: time goes in with every
// call.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "cartsail/base/clock.h"

namespace cartsail {

// Orders the holders of a duty: each acquisition has a greater one than those before.
using FencingToken = int64_t;

struct LeaseTiming {
  // Of the record in the store. In this time no two nodes may act in turns (A, B, A).
  Duration lease = seconds(3);
  // For calls that are under way when a lease ends or a process is restarted: a call that was
  // written arrives within this time unless links hold it up.
  Duration slack = milliseconds(300);
};

class HolderLease {
 public:
  // `may_have_acted`: until then an earlier process of this node may have: the start of this one,
  // or the start of time when there was none.
  HolderLease(LeaseTiming terms, TimePoint may_have_acted)
      : terms_(terms), last_act_(may_have_acted) {}

  // The record was written with `token`; its lease was asked for at `asked`.
  void OnAcquired(FencingToken token, TimePoint asked);

  // The store has renewed the lease; the call was made at `asked`. Has no effect once the lease has
  // run out by this node's clock.
  void OnRenewed(TimePoint asked);

  // The duty was given up, or another node holds it.
  void OnLost() { token_.reset(); }

  // This node acts, or a call of it has ended.
  void NoteAct(TimePoint now) { last_act_ = std::max(last_act_, now); }

  // The lease runs, by a clock that started before the store's.
  bool IsHeld(TimePoint now) const { return token_.has_value() && now < valid_until_; }

  // The token to act with now; nothing when this node may not act.
  std::optional<FencingToken> MayAct(TimePoint now) const;

  // The token of the lease that runs; nothing when none does.
  std::optional<FencingToken> Token(TimePoint now) const;

  TimePoint ValidUntil() const { return valid_until_; }

 private:
  TimePoint EndOf(TimePoint asked) const { return asked + terms_.lease - terms_.slack; }

  LeaseTiming terms_;
  std::optional<FencingToken> token_;
  TimePoint valid_until_{};
  TimePoint acts_from_{};  // under this token
  TimePoint last_act_;     // under any token of this node
};

}  // namespace cartsail
