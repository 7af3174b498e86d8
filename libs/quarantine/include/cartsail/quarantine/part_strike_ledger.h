// Finds the prompt parts that crash back ends among the parts that were in flight at their exits.
//
// Every part in flight at an exit gets a strike; a part that a back end has completed about that
// time is harmless. What explains most exits is suspected first, and the exits that it explains
// count against no other part. Parts with the same exits, or all but one of them, are suspected
// together: only requests with all of them are quarantined, so that harmless requests with some of
// them go on, complete, and show which of the parts is harmless. Bounded in size. Performs no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/quarantine/shared_parts.h"

namespace cartsail {

// An exit of a back end, as one node saw it: the parts of its requests in flight there.
struct PartStrikes {
  BackendKey backend = 0;
  TimePoint when{};  // when the connections broke
  SharedParts in_flight;

  bool operator==(const PartStrikes& other) const = default;
};

// Requests with all of these parts are suspected of crashing back ends.
struct SuspectedGroup {
  std::vector<PartFingerprint> parts;  // in ascending order
  std::vector<BackendKey> backends;    // that exited with the first part, in ascending order
  TimePoint first_strike;
  ServiceKey service = 0;

  bool operator==(const SuspectedGroup& other) const = default;
};

// A completion of a part speaks against its strikes until this long after it: a popular part is in
// flight everywhere, and completes all the time.
inline constexpr Duration kPartExonerationTime = seconds(2);

class PartStrikeLedger {
 public:
  // Returns the parts that got a new strike.
  std::vector<PartFingerprint> Note(const PartStrikes& strikes);

  // A back end has completed a request with the part.
  void NoteCompleted(PartFingerprint part, TimePoint when);

  // The groups of the service that are to be quarantined: three exits or more, not all at one
  // moment. The one that explains most exits first. `by_requests`: for each quarantined request the
  // back ends that exited while running it, in ascending order. Parts that were in flight at no
  // other exits than those of one request need no quarantine of their own.
  std::vector<SuspectedGroup> GroupsOf(
      ServiceKey service, const std::vector<std::vector<BackendKey>>& by_requests = {}) const;

  bool HasStrikes(PartFingerprint part) const { return records_.contains(part); }

  // The earliest strike of the part; `otherwise` if it has none.
  TimePoint FirstStrikeOf(PartFingerprint part, TimePoint otherwise) const;

  // Drops strikes older than 20 minutes.
  void Expire(TimePoint now);

  size_t Size() const { return records_.size(); }

 private:
  using Exits = std::map<BackendKey, TimePoint>;

  struct Record {
    ServiceKey service = 0;
    Exits exits;
    TimePoint last;
  };

  bool IsExonerated(PartFingerprint part, TimePoint strike) const;
  void EvictOlderHalf();

  std::unordered_map<PartFingerprint, Record> records_;
  std::unordered_map<PartFingerprint, TimePoint> completed_;  // last completion
};

}  // namespace cartsail
