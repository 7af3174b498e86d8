// Requests that back ends have run to the end lately at this node: a request that a back end has
// survived is no deadly one. Bounded. Pure.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/request_fingerprint.h"

namespace cartsail {

class RecentCompletions {
 public:
  void Note(RequestFingerprint request, TimePoint now);

  // True when a back end ran the request to the end after `since`, as far as this still remembers.
  bool CompletedSince(RequestFingerprint request, TimePoint since) const;

 private:
  using Generation = std::unordered_map<RequestFingerprint, TimePoint>;

  Generation newer_;
  Generation older_;
  TimePoint begun_{};  // of `newer_`
};

}  // namespace cartsail
