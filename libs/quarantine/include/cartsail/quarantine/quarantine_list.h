// Requests that this node sends to no backend because backend processes exit while running them.
// Bounded in size. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/quarantine/request_fingerprint.h"
#include "cartsail/quarantine/shared_parts.h"

namespace cartsail {

// How long a request stays quarantined: the longest lease that a store grants. This leaves its
// sender time to change the request, or the operator time to fix the engines.
inline constexpr Duration kQuarantineTime = seconds(600);

// One request, or all requests that have certain prompt parts.
struct QuarantinedRequest {
  RequestFingerprint request = 0;  // of the request, or GroupFingerprintOf(parts)
  TimePoint until;
  std::vector<PartFingerprint> parts;  // in ascending order; empty: a single request
  std::vector<BackendKey> backends;    // that exited while running it; empty: not known here
};

class QuarantineList {
 public:
  // Returns true if the request was added; false if it is already quarantined, if `until` has
  // passed, or if it is outdated. Parts that were missing are added: nodes of an earlier build pass
  // a quarantine on without them.
  bool Add(const QuarantinedRequest& quarantined, TimePoint now);

  // Ends a quarantine. `backends`: the exits that it was for, as far as known. `may_return`: later
  // exits may bring it back at once, as the request has not proved harmless. Returns true if it was
  // quarantined.
  bool Lift(RequestFingerprint request, TimePoint now, const std::vector<BackendKey>& backends = {},
            bool may_return = false);

  // True if the quarantine was lifted recently: notices of it may still be in flight. One that may
  // return and has an exit that was not known then is not outdated.
  bool IsOutdated(const QuarantinedRequest& quarantined, TimePoint now) const;

  // The quarantine of the request or group; nullopt if there is none.
  std::optional<QuarantinedRequest> Find(RequestFingerprint request) const;

  bool WasLifted(RequestFingerprint request, TimePoint now) const;

  // Time until the quarantine ends; nullopt if the request is not quarantined.
  std::optional<Duration> RemainingTime(RequestFingerprint request, TimePoint now) const;

  // What the request is quarantined for, itself or its parts; nothing if it may be sent.
  std::vector<QuarantinedRequest> MatchesOf(const RequestTraits& traits, TimePoint now) const;

  // All quarantines of groups that have the part.
  std::vector<QuarantinedRequest> GroupsWith(PartFingerprint part, TimePoint now) const;

  std::vector<QuarantinedRequest> All() const;

  // Up to `max_count` quarantined requests, those that end last first.
  std::vector<QuarantinedRequest> Newest(size_t max_count, TimePoint now) const;

  void Expire(TimePoint now);

  size_t Size() const { return quarantined_.size(); }

  // Change counter: rises whenever a request is added, lifted or expires.
  int64_t Changes() const { return changes_; }

 private:
  struct Lifted {
    TimePoint when;
    std::set<BackendKey> backends;  // exits that were known then
    bool may_return = false;
  };

  std::unordered_map<RequestFingerprint, QuarantinedRequest> quarantined_;
  std::unordered_set<RequestFingerprint> groups_;  // those of quarantined_ that have parts
  std::unordered_map<RequestFingerprint, Lifted> lifted_;
  int64_t changes_ = 0;
};

}  // namespace cartsail
