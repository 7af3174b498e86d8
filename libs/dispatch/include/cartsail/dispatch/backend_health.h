// What recent requests tell about a back end's health: failures weigh against it, lost connections
// suspend it for a growing time. No probes. Pure.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/attempt_outcome.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

struct RecentAttempts {
  double attempts = 0;
  double failures = 0;
};

// Share of failures, 0 to 1, with a few successes assumed where little is known.
double FailureShare(const RecentAttempts& recent);

// Whose request an attempt belongs to. Peers tell of their own attempts in digests; those that this
// node followed for them are counted apart, so that none counts twice.
enum class AttemptOrigin { kOwn, kPeer };

class BackendHealth {
 public:
  void Note(BackendKey backend, AttemptOutcome outcome, AttemptOrigin origin, TimePoint now);

  // Time to the first output against what was expected of it, 1 being as expected.
  void NotePace(BackendKey backend, double ratio, TimePoint now);

  bool IsSuspended(BackendKey backend, TimePoint now) const;

  // The attempts of the last seconds of one origin; they fade with time.
  RecentAttempts Recent(BackendKey backend, AttemptOrigin origin, TimePoint now) const;

  // Back ends at which some attempt of this node failed lately.
  std::vector<BackendKey> RecentlyFailing(TimePoint now) const;

  // How many times longer than expected it takes, at least 1. What was measured fades, as one that
  // is avoided for it is not measured again.
  double Slowness(BackendKey backend, TimePoint now) const;

  // Forgets all back ends but those that `is_known` holds.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  struct FadingAttempts {
    RecentAttempts recent;
    TimePoint updated;
  };

  struct Record {
    FadingAttempts own;
    FadingAttempts of_peers;
    double slowness = 1;  // at `paced`
    TimePoint paced;
    int consecutive_losses = 0;
    TimePoint suspended_until;
  };

  const Record* Find(BackendKey backend) const;

  std::unordered_map<BackendKey, Record> records_;
};

}  // namespace cartsail
