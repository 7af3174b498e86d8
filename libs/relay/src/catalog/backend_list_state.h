// What this node knows of how its list of back ends compares with the store.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cartsail/base/clock.h"

namespace cartsail {

struct BackendListState {
  int64_t revision = 0;  // store revision up to which all changes are known; 0: none
  // When a reader of the store last had this list confirmed; TimePoint(): never.
  TimePoint confirmed{};
  int64_t awaited_revision = 0;  // of a peer that was ahead of this node; 0: none
  TimePoint awaited_since{};     // when `awaited_revision` became known

  void Confirm(TimePoint then) { confirmed = std::max(confirmed, then); }

  // Records that a peer knows all changes up to `elsewhere`. Keeps waiting for the earlier of two
  // revisions that are lacking: with the later one, a node that always lacks some would never count
  // as behind.
  void NoteRevisionElsewhere(int64_t elsewhere, TimePoint now) {
    if (elsewhere <= revision || awaited_revision > revision) return;
    awaited_revision = elsewhere;
    awaited_since = now;
  }

  // True if changes that a peer knows have been lacking for `limit`.
  bool IsBehind(TimePoint now, Duration limit) const {
    return awaited_revision > revision && now - awaited_since >= limit;
  }
};

}  // namespace cartsail
