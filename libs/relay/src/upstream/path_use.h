// Activity on this node's connections to one back end, either the direct or the bridged ones: when
// data was last received on any.
// Not thread-safe.
#pragma once

#include <algorithm>
#include <functional>
#include <utility>

#include "cartsail/base/clock.h"
#include "cartsail/reachability/silence_evidence.h"

namespace cartsail {

class PathUse {
 public:
  // `on_way`: called on the first bytes of each connection, which prove that the path works.
  explicit PathUse(std::function<void()> on_way) : on_way_(std::move(on_way)) {}

  // Records that a request is being sent.
  void Begin(TimePoint now) {
    // Callers that leave a silent back end, and others that come, do not make it look less silent.
    const bool is_overdue = has_ended_silent_ && now - ended_ < kIdleTime;
    if (waiting_++ == 0 && !is_overdue) waiting_since_ = now;
  }

  // Records that a response has ended, or will never arrive.
  void End(TimePoint now) {
    --waiting_;
    ended_ = now;
    has_ended_silent_ = now - std::max(heard_, waiting_since_) > kSpeakingGap;
  }

  void NoteHeard(bool is_first, TimePoint now) {
    if (now - heard_ > kSpeakingGap) {
      speaking_since_ = now;
      silent_before_ = waiting_ > 0 ? now - std::max(heard_, waiting_since_) : Duration(0);
    }
    heard_ = now;
    if (is_first) on_way_();
  }

  // When data was last received; the zero time if never.
  TimePoint Heard() const { return heard_; }

  // True if responses are pending and no connection has received data for `silence`.
  bool IsSilent(Duration silence, TimePoint now) const {
    return waiting_ > 0 && now - std::max(heard_, waiting_since_) >= silence;
  }

  // True if responses are pending, or data was received within `recent`.
  bool IsActive(Duration recent, TimePoint now) const {
    return waiting_ > 0 || now - heard_ < recent;
  }

  BackendActivity Activity(BackendKey backend) const {
    return {backend, waiting_ > 0, waiting_since_, heard_, speaking_since_, silent_before_};
  }

  bool IsIdle() const { return waiting_ == 0; }

 private:
  // Without pending responses for this long, the back end is idle and not overdue.
  static constexpr Duration kIdleTime = seconds(1);

  std::function<void()> on_way_;
  int waiting_ = 0;
  TimePoint ended_{};              // when a response ended last
  bool has_ended_silent_ = false;  // responses were overdue then
  TimePoint waiting_since_{};
  TimePoint heard_{};
  TimePoint speaking_since_{};
  Duration silent_before_{};
};

}  // namespace cartsail
