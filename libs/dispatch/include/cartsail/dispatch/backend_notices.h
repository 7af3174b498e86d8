// What back ends have told of themselves: that they leave, and that they want no request from this
// node for some time. Kept by incarnation, so that nothing of it binds a later one, and apart from
// the entries in the store, which may lapse and come back. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// Names one incarnation of a back end: see KeyOf().
using BackendKey = uint32_t;

// One answer's word.
struct BackendNotice {
  bool leaving = false;
  std::optional<Duration> rest;  // from now on
};

// What was not known before.
struct NoticeChange {
  bool leaves = false;
  bool rests = false;
};

class BackendNotices {
 public:
  // Leaving is final. True when it was not known.
  bool NoteLeaving(BackendKey backend);
  bool IsLeaving(BackendKey backend) const { return leaving_.contains(backend); }

  // Of several rests the one that ends last holds. True when the back end did not rest before.
  bool NoteRest(BackendKey backend, Duration rest, TimePoint now);

  // How much longer the back end wants no request from this node; nothing when it wants some.
  std::optional<Duration> RestLeft(BackendKey backend, TimePoint now) const;

  // Those that rest now.
  std::vector<BackendKey> Resting(TimePoint now) const;

  // Forgets rests that are over.
  void Expire(TimePoint now);

  // Leaving incarnations that are remembered: in a fleet of 3,400 back ends at 4,000 changes a day
  // those of a day, in 250 KB at most.
  static constexpr size_t kMostLeaving = 4096;

 private:
  std::unordered_set<BackendKey> leaving_;
  std::deque<BackendKey> leaving_order_;  // the earliest first
  std::unordered_map<BackendKey, TimePoint> rests_until_;
};

}  // namespace cartsail
