// The requests that this node sends to no back end, because back ends end under them. Bounded.
// Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/request_fingerprint.h"

namespace cartsail {

// A request is kept from back ends for so long: the longest lease that a store grants. Whoever
// needs it run has the time to change it, or the engines.
inline constexpr Duration kQuarantineTime = seconds(600);

struct QuarantinedRequest {
  RequestFingerprint request = 0;
  TimePoint until;
};

class QuarantineList {
 public:
  // True when the request was not in quarantine before. A request that was lifted stays so for a
  // while: word of its quarantine may still be on its way.
  bool Add(const QuarantinedRequest& quarantined, TimePoint now);

  // The request is innocent. True when it was in quarantine.
  bool Lift(RequestFingerprint request, TimePoint now);

  bool WasLifted(RequestFingerprint request, TimePoint now) const;

  // How long it is still kept from back ends; nothing when it may be sent.
  std::optional<Duration> RemainingTime(RequestFingerprint request, TimePoint now) const;

  // The newest ones first, `most` at most.
  std::vector<QuarantinedRequest> Newest(size_t most, TimePoint now) const;

  void Expire(TimePoint now);

  size_t Size() const { return quarantined_.size(); }

  // Rises with every change.
  int64_t Changes() const { return changes_; }

 private:
  std::unordered_map<RequestFingerprint, TimePoint> quarantined_;  // until when
  std::unordered_map<RequestFingerprint, TimePoint> lifted_;       // since when
  int64_t changes_ = 0;
};

}  // namespace cartsail
