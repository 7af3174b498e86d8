// Notices that back ends send about themselves in answers: that they are leaving, and that this
// node is to back off for some time. Notices are kept by incarnation, so that they do not bind a
// later incarnation, and separately from the entries in the store, which may lapse and come back.
// Performs no I/O.
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

// Identifies one incarnation of a back end; see KeyOf().
using BackendKey = uint32_t;

// The time at which an answer was read.
struct NoticeTime {
  TimePoint at{};
  // Wall-clock time of this node, in milliseconds since the Unix epoch, for comparison with the
  // start times of back ends. Clocks differ between hosts and can be set. 0: the notice was not
  // read in an answer.
  std::chrono::milliseconds wall{};
};

// The notices in one answer.
struct BackendNotice {
  bool leaving = false;
  std::optional<Duration> backoff;  // counted from now; absent: no back-off requested
  // When the answer was read, in milliseconds since the Unix epoch on this node's clock.
  std::chrono::milliseconds told{};
};

// What a notice added to what was known.
struct NoticeChange {
  bool leaves = false;
  bool backs_off = false;  // this node had not been backing off before
};

class BackendNotices {
 public:
  // Marks an incarnation as leaving, which is final. Returns true when that was not known before.
  bool NoteLeaving(BackendKey backend, const NoticeTime& told = {});
  bool IsLeaving(BackendKey backend) const { return leaving_.contains(backend); }

  // Of several back-offs the one that ends last applies. Returns true when none was in force
  // before.
  bool NoteBackoff(BackendKey backend, Duration backoff, const NoticeTime& told);

  // Transfers notices from `earlier` to `later`, started at `start`, which this node has just
  // learned to have replaced `earlier` under the same id. Notices read after that start came from
  // `later`: without the transfer, three requests from each of four nodes reached an engine that
  // had asked these nodes to back off before they learned of its restart. A notice that either
  // incarnation may have sent applies to `later` for kMaxAmbiguousHold after it was read; this
  // includes leaving, which then acts as a back-off.
  void CarryToSuccessor(BackendKey earlier, BackendKey later, std::chrono::milliseconds start);

  // True when the back end is leaving, or has a back-off that has not been expired yet.
  bool Knows(BackendKey backend) const {
    return leaving_.contains(backend) || backoffs_.contains(backend);
  }

  // Time left until this node may send to the back end again; nothing when no back-off is in force.
  std::optional<Duration> BackoffLeft(BackendKey backend, TimePoint now) const;

  // Back ends from which this node is backing off at `now`.
  std::vector<BackendKey> BackingOff(TimePoint now) const;

  // Forgets back-offs that have ended.
  void Expire(TimePoint now);

  // Maximum number of leaving incarnations that are remembered. In a fleet of 3,400 back ends with
  // 4,000 changes a day this covers one day and takes at most 250 KB.
  static constexpr size_t kMaxLeavingRemembered = 4096;

  // Assumed bound on the clock difference between this node and a back end, as long as no clock is
  // set wrongly.
  static constexpr std::chrono::milliseconds kMaxClockSkew{5000};
  // How long this node sends nothing to a process that may not be the one that sent the notice. A
  // process that did send it gets one more request after this time.
  static constexpr Duration kMaxAmbiguousHold = seconds(10);

 private:
  struct Backoff {
    TimePoint until{};
    NoticeTime told{};
  };

  // Both are kept, because the longest may stem from an earlier process than the latest.
  struct Backoffs {
    Backoff longest;
    Backoff latest;
  };

  static TimePoint EndFor(const Backoff& backoff, std::chrono::milliseconds start);
  void Carry(BackendKey to, const Backoff& backoff, std::chrono::milliseconds start);

  std::unordered_map<BackendKey, NoticeTime> leaving_;  // when the notice was read
  std::deque<BackendKey> leaving_order_;                // oldest first
  std::unordered_map<BackendKey, Backoffs> backoffs_;
};

}  // namespace cartsail
