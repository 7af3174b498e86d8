// Requests of this node, or prompt parts of these, that backends completed recently. What a backend
// has survived does not crash backends. Bounded in size. Performs no I/O.
#pragma once

#include <cstddef>
#include <optional>
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

  // The last completion that is still known; nullopt if none is.
  std::optional<TimePoint> LastOf(RequestFingerprint request) const;

 private:
  using Generation = std::unordered_map<RequestFingerprint, TimePoint>;

  Generation newer_;
  Generation older_;
  TimePoint begun_{};  // start of `newer_`
};

}  // namespace cartsail
