// Passive health tracking of back ends: recent failures count against a back end, and lost
// connections suspend it for exponentially growing periods. Sends no probes and performs no I/O.
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

// Fraction of failed attempts, 0 to 1, smoothed by assuming a few successes so that a single
// failure among few attempts does not dominate.
double FailureShare(const RecentAttempts& recent);

// Whose request an attempt belongs to. Peers report their own attempts in digests. Attempts that
// this node followed for its peers are counted separately, so that no attempt counts twice.
enum class AttemptOrigin { kOwn, kPeer };

class BackendHealth {
 public:
  void Note(BackendKey backend, AttemptOutcome outcome, AttemptOrigin origin, TimePoint now);

  // Records the ratio of the measured to the expected time to first output; 1 is as expected.
  void NotePace(BackendKey backend, double ratio, TimePoint now);

  bool IsSuspended(BackendKey backend, TimePoint now) const;

  // Attempts of `origin` within the last seconds, with exponential decay.
  RecentAttempts Recent(BackendKey backend, AttemptOrigin origin, TimePoint now) const;

  // Back ends at which an attempt of this node failed recently.
  std::vector<BackendKey> RecentlyFailing(TimePoint now) const;

  // How many times longer than expected the time to first output is, at least 1. Measurements
  // decay, because a back end that is avoided for being slow is not measured again.
  double Slowness(BackendKey backend, TimePoint now) const;

  // Forgets every back end for which `is_known` returns false.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  struct FadingAttempts {
    RecentAttempts recent;
    TimePoint updated;
  };

  struct Record {
    FadingAttempts own;
    FadingAttempts of_peers;
    double slowness = 1;  // as of `paced`
    TimePoint paced;
    int consecutive_losses = 0;
    TimePoint suspended_until;
  };

  const Record* Find(BackendKey backend) const;

  std::unordered_map<BackendKey, Record> records_;
};

}  // namespace cartsail
