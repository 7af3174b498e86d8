// Requests of this node that backends completed recently. A request that a backend has survived
// does not crash backends. Bounded in size. Performs no I/O.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/request_fingerprint.h"

namespace cartsail {

class RecentCompletions {
 public:
  void Note(RequestFingerprint request, TimePoint now);

  // True if a backend is known to have completed the request after `since`. Completions are kept
  // for at least a minute unless the table fills up sooner.
  bool CompletedSince(RequestFingerprint request, TimePoint since) const;

 private:
  using Generation = std::unordered_map<RequestFingerprint, TimePoint>;

  Generation newer_;
  Generation older_;
  TimePoint begun_{};  // start of `newer_`
};

}  // namespace cartsail
