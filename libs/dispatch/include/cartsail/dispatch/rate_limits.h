// The rate limits that back ends advertise in answers: requests a second that they accept from all
// nodes together. Kept by incarnation. Nodes exchange the limits that they have read; these may
// arrive in any order. Performs no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_notices.h"

namespace cartsail {

// What one answer of a back end says about the rate that it accepts.
struct RateNotice {
  std::optional<double> per_s;  // nothing: the answer names no rate
  TimePoint asked{};            // when the answered request was sent; long past: unknown
  NoticeTime read;              // read by this node, or by another node that forwarded it
};

// A rate notice with its back end, as exchanged between nodes.
struct BackendRateNotice {
  BackendKey backend = 0;
  RateNotice notice;
};

// A rate limit in force.
struct RateLimit {
  double per_s = 0;
  TimePoint first_named;  // first time that this incarnation advertised a rate
  TimePoint read;         // when the answer that named the rate was read
};

enum class RateChange { kNone, kNamed, kChanged, kWithdrawn };

class RateLimits {
 public:
  // Records a rate notice. A rate smaller than before applies as soon as it is read. A larger rate,
  // or none, applies only when its request was sent after the smaller rate was read: answers can be
  // reordered, and one that was generated before the back end advertised its rate may arrive after
  // it.
  RateChange Note(BackendKey backend, const RateNotice& notice);

  // The limit in force; nothing when the back end accepts any rate.
  std::optional<RateLimit> Of(BackendKey backend) const;

  // True when the back end withdrew its rate recently, so that the withdrawal is still sent to
  // other nodes.
  bool WasWithdrawnRecently(BackendKey backend, TimePoint now) const;

  // True when a notice on the back end is kept, even one that names no rate.
  bool Knows(BackendKey backend) const { return notices_.contains(backend); }

  // True when no back end has a limit.
  bool IsEmpty() const { return limited_ == 0; }

  // As BackendNotices::CarryToSuccessor(). A rate that either incarnation may have advertised is
  // transferred, since the next answer corrects it.
  void CarryToSuccessor(BackendKey earlier, BackendKey later, std::chrono::milliseconds start);

  // The newest notices on back ends for which `is_wanted` returns true, newest first, at most
  // `most`: rates in force, and those withdrawn within kWithdrawnTold.
  std::vector<BackendRateNotice> Latest(const std::function<bool(BackendKey)>& is_wanted,
                                        size_t most, TimePoint now) const;

  // Forgets back ends for which `is_known` returns false and whose last notice was read more than
  // kForgottenAfter ago.
  void Expire(const std::function<bool(BackendKey)>& is_known, TimePoint now);

  static constexpr Duration kWithdrawnTold = seconds(60);
  static constexpr Duration kForgottenAfter = seconds(60);

 private:
  struct Known {
    RateNotice notice;  // notice in force
    TimePoint first_named;
  };

  void Keep(BackendKey backend, const RateNotice& notice, Known* known);

  std::unordered_map<BackendKey, Known> notices_;
  size_t limited_ = 0;
};

}  // namespace cartsail
