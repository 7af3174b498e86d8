// The rates that back ends have named in answers: requests a second that they take from all nodes
// together. Kept by incarnation. What nodes read at different times is told between them and comes
// together in any order. Pure.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_notices.h"

namespace cartsail {

// What the answer of a back end says of the rate that it takes.
struct RateNotice {
  std::optional<double> per_s;  // nothing: it named none
  TimePoint asked{};            // when the request was sent that it answers; long past: unknown
  NoticeTime read;              // by this node, or by another one that told of it
};

// The same of a named back end, as nodes tell it each other.
struct BackendRateNotice {
  BackendKey backend = 0;
  RateNotice notice;
};

// A rate that is in force.
struct RateLimit {
  double per_s = 0;
  TimePoint first_named;  // by this incarnation, also where it named none since
  TimePoint read;         // the answer that named it last
};

enum class RateChange { kNone, kNamed, kChanged, kWithdrawn };

class RateLimits {
 public:
  // A smaller rate than before holds as soon as it is read. A larger one, or none, holds only when
  // its answer belongs to a request that was sent after the smaller one was read: answers pass each
  // other, and one that was made before the back end named its rate may come after it.
  RateChange Note(BackendKey backend, const RateNotice& word);

  // Nothing where the back end takes any rate.
  std::optional<RateLimit> Of(BackendKey backend) const;

  // It took its rate back, and other nodes are still told so.
  bool WasWithdrawnRecently(BackendKey backend, TimePoint now) const;

  // What is known of the back end, be it that it named none last.
  bool Knows(BackendKey backend) const { return words_.contains(backend); }

  // None is limited.
  bool IsEmpty() const { return limited_ == 0; }

  // As BackendNotices::CarryToSuccessor(). What may be of either is passed on: it is corrected by
  // the next answer.
  void CarryToSuccessor(BackendKey earlier, BackendKey later, std::chrono::milliseconds start);

  // The latest words on those of which `is_wanted`, the newest first, `most` of them: rates in
  // force, and those withdrawn within kWithdrawnTold.
  std::vector<BackendRateNotice> Latest(const std::function<bool(BackendKey)>& is_wanted,
                                        size_t most, TimePoint now) const;

  // Forgets back ends that are not known and were not heard of for kForgottenAfter.
  void Expire(const std::function<bool(BackendKey)>& is_known, TimePoint now);

  static constexpr Duration kWithdrawnTold = seconds(60);
  static constexpr Duration kForgottenAfter = seconds(60);

 private:
  struct Known {
    RateNotice notice;  // the one in force
    TimePoint first_named;
  };

  void Keep(BackendKey backend, const RateNotice& word, Known* known);

  std::unordered_map<BackendKey, Known> words_;
  size_t limited_ = 0;
};

}  // namespace cartsail
