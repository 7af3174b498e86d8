// What recent requests tell about a back end's health: failures weigh against it, lost connections
// suspend it for a growing time. No probes. Pure.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/attempt_outcome.h"

namespace cartsail {

struct RecentAttempts {
  double attempts = 0;
  double failures = 0;
};

// Share of failures, 0 to 1, with a few successes assumed where little is known.
double FailureShare(const RecentAttempts& recent);

class BackendHealth {
 public:
  void Note(std::string_view backend, AttemptOutcome outcome, TimePoint now);

  // Time to the first output against what was expected of it, 1 being as expected.
  void NotePace(std::string_view backend, double ratio);

  bool IsSuspended(std::string_view backend, TimePoint now) const;

  // This node's attempts of the last seconds; they fade with time.
  RecentAttempts Recent(std::string_view backend, TimePoint now) const;

  // Back ends at which some attempt failed lately.
  std::vector<std::string> FailingLately(TimePoint now) const;

  // How many times longer than expected it takes, at least 1.
  double Slowness(std::string_view backend) const;

  // Mean pause between the events of one stream, in milliseconds.
  void NotePause(std::string_view backend, double pause_ms);

  // A peer's measure of the same.
  void NotePeerPause(std::string_view backend, double pause_ms);

  // The least mean pause of its recent streams: its own pace, without what runs beside. 0: unknown.
  double LeastPause(std::string_view backend) const;

  // The least of all back ends; 0: unknown.
  double FastestPause() const;

  // Forgets all back ends but those that `is_known` holds.
  void ForgetUnless(const std::function<bool(const std::string& backend)>& is_known);

 private:
  struct Record {
    RecentAttempts recent;
    double slowness = 1;
    double least_pause_ms = 0;
    int consecutive_losses = 0;
    TimePoint updated;
    TimePoint suspended_until;
  };

  const Record* Find(std::string_view backend) const;

  std::unordered_map<std::string, Record> records_;
};

}  // namespace cartsail
