// What back ends have told of themselves: that they leave, and that this node is to back off for
// some time. Kept by incarnation, so that a later one is bound by nothing of it, and apart from the
// entries in the store, which may lapse and come back. Pure.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// Names one incarnation of a back end: see KeyOf().
using BackendKey = uint32_t;

// When an answer was read.
struct NoticeTime {
  TimePoint at{};
  // By the time of day of this node, in milliseconds since the start of 1970: to be compared with
  // the starts of back ends. Clocks differ, and are set. 0: it was not read in an answer.
  std::chrono::milliseconds wall{};
};

// One answer's word.
struct BackendNotice {
  bool leaving = false;
  std::optional<Duration> backoff;  // from now on
  // When it was read, in milliseconds since the start of 1970 on this node's clock.
  std::chrono::milliseconds told{};
};

// What was not known before.
struct NoticeChange {
  bool leaves = false;
  bool backs_off = false;  // this node
};

class BackendNotices {
 public:
  // Leaving is final. True when it was not known.
  bool NoteLeaving(BackendKey backend, const NoticeTime& told = {});
  bool IsLeaving(BackendKey backend) const { return leaving_.contains(backend); }

  // Of several back-offs the one that ends last holds. True when there was none before.
  bool NoteBackoff(BackendKey backend, Duration backoff, const NoticeTime& told);

  // `later`, which has started at `start`, has taken the place of `earlier` under the same id, as
  // this node hears now. What was read in answers after that start was said by `later`: three
  // requests of each of four nodes reached an engine that had asked them to back off before they
  // had heard of its new start. What may have been said by either binds `later` for
  // kMaxAmbiguousHold after it was read, leaving included.
  void CarryToSuccessor(BackendKey earlier, BackendKey later, std::chrono::milliseconds start);

  // It leaves, or was asked for a back-off that is not forgotten yet.
  bool Knows(BackendKey backend) const {
    return leaving_.contains(backend) || backoffs_.contains(backend);
  }

  // How much longer the back end wants no request from this node; nothing when it wants some.
  std::optional<Duration> BackoffLeft(BackendKey backend, TimePoint now) const;

  // Those from which this node backs off now.
  std::vector<BackendKey> BackingOff(TimePoint now) const;

  // Forgets back-offs that are over.
  void Expire(TimePoint now);

  // Leaving incarnations that are remembered: in a fleet of 3,400 back ends at 4,000 changes a day
  // those of a day, in 250 KB at most.
  static constexpr size_t kMaxLeavingRemembered = 4096;

  // By which the clocks of this node and a back end differ where none was set wrongly.
  static constexpr std::chrono::milliseconds kMaxClockSkew{5000};
  // A process that was wrongly taken for the one that said it is sent nothing by this node for so
  // long; one that did say it is asked once more then.
  static constexpr Duration kMaxAmbiguousHold = seconds(10);

 private:
  struct Backoff {
    TimePoint until{};
    NoticeTime told{};
  };

  // Both are kept, since the longest may be of a process before the one that asked last.
  struct Backoffs {
    Backoff longest;
    Backoff latest;
  };

  static TimePoint EndFor(const Backoff& backoff, std::chrono::milliseconds start);
  void Carry(BackendKey to, const Backoff& backoff, std::chrono::milliseconds start);

  std::unordered_map<BackendKey, NoticeTime> leaving_;  // when that was told
  std::deque<BackendKey> leaving_order_;                // the earliest first
  std::unordered_map<BackendKey, Backoffs> backoffs_;
};

}  // namespace cartsail
