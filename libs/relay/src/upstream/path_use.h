// Activity on this node's direct connections to one back end: when data was last received on any.
// Not thread-safe.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/reachability/silence_evidence.h"

namespace cartsail {

class UpstreamConnection;

class PathUse {
 public:
  // `on_way`: called on the first bytes of each connection, which prove that the path works.
  explicit PathUse(std::function<void()> on_way) : on_way_(std::move(on_way)) {}

  // Records that a request is being sent on `connection`.
  void Begin(std::weak_ptr<UpstreamConnection> connection, TimePoint now) {
    if (waiting_++ == 0) waiting_since_ = now;
    const auto is_over = [&connection](const auto& other) {
      return other.expired() || !(other.owner_before(connection) || connection.owner_before(other));
    };
    std::erase_if(in_use_, is_over);
    in_use_.push_back(std::move(connection));
  }

  // Records that a response has ended, or will never arrive.
  void End() { --waiting_; }

  void NoteHeard(bool is_first, TimePoint now) {
    if (now - heard_ > kSpeakingGap) speaking_since_ = now;
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
    return {backend, waiting_ > 0, waiting_since_, heard_, speaking_since_};
  }

  // Open connections on which a request was sent; some may have completed it.
  std::vector<std::shared_ptr<UpstreamConnection>> InUse() const {
    std::vector<std::shared_ptr<UpstreamConnection>> connections;
    for (const auto& weak : in_use_) {
      if (auto connection = weak.lock()) connections.push_back(std::move(connection));
    }
    return connections;
  }

  bool IsIdle() const { return waiting_ == 0; }

 private:
  std::function<void()> on_way_;
  int waiting_ = 0;
  TimePoint waiting_since_{};
  TimePoint heard_{};
  TimePoint speaking_since_{};
  std::vector<std::weak_ptr<UpstreamConnection>> in_use_;
};

}  // namespace cartsail
