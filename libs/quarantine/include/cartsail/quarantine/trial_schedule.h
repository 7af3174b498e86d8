// When one request may be sent although it is quarantined. A harmless request that is quarantined
// wrongly can be freed by nothing else, as it is refused everywhere. Performs no I/O.
#pragma once

#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/request_fingerprint.h"

namespace cartsail {

class TrialSchedule {
 public:
  // True if a trial of the quarantine is due; it counts as taken then. The first call for a
  // quarantine starts its schedule.
  bool Take(RequestFingerprint quarantine, TimePoint now);

  // Gives back a trial that was taken: its request was sent to no back end.
  void Return(RequestFingerprint quarantine, TimePoint now);

  // Drops schedules of quarantines that are long over.
  void Expire(TimePoint now);

 private:
  struct Trials {
    TimePoint next;
    Duration pause{};  // from `next` to the one after it
  };

  std::unordered_map<RequestFingerprint, Trials> trials_;
};

}  // namespace cartsail
