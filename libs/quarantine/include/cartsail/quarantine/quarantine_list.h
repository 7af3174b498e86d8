// Requests that this node sends to no backend because backend processes exit while running them.
// Bounded in size. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/request_fingerprint.h"

namespace cartsail {

// How long a request stays quarantined: the longest lease that a store grants. This leaves its
// sender time to change the request, or the operator time to fix the engines.
inline constexpr Duration kQuarantineTime = seconds(600);

struct QuarantinedRequest {
  RequestFingerprint request = 0;
  TimePoint until;
};

class QuarantineList {
 public:
  // Returns true if the request was added; false if it is already quarantined, if `until` has
  // passed, or if its quarantine was lifted recently: notices of it may still be in flight.
  bool Add(const QuarantinedRequest& quarantined, TimePoint now);

  // Ends the quarantine of a request that proved harmless. Returns true if it was quarantined.
  bool Lift(RequestFingerprint request, TimePoint now);

  bool WasLifted(RequestFingerprint request, TimePoint now) const;

  // Time until the quarantine ends; nullopt if the request is not quarantined.
  std::optional<Duration> RemainingTime(RequestFingerprint request, TimePoint now) const;

  // Up to `max_count` quarantined requests, those that end last first.
  std::vector<QuarantinedRequest> Newest(size_t max_count, TimePoint now) const;

  void Expire(TimePoint now);

  size_t Size() const { return quarantined_.size(); }

  // Change counter: rises whenever a request is added, lifted or expires.
  int64_t Changes() const { return changes_; }

 private:
  std::unordered_map<RequestFingerprint, TimePoint> quarantined_;  // end of quarantine
  std::unordered_map<RequestFingerprint, TimePoint> lifted_;       // when it was lifted
  int64_t changes_ = 0;
};

}  // namespace cartsail
