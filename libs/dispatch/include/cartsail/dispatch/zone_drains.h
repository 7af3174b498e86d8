// The zones that operators have drained. Their back ends get no new request until the zone is
// restored. Performs no I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

class ZoneDrains {
 public:
  // Each of these functions returns true when it changed anything.
  bool Drain(const std::string& zone, TimePoint now);
  bool Restore(const std::string& zone, TimePoint now);
  // Replaces the set of drained zones by a snapshot.
  bool ReplaceAll(const std::set<std::string>& zones, TimePoint now);

  bool IsDrained(std::string_view zone) const { return drained_.contains(zone); }

  // When this node learned that the zone was drained; nothing when it is not drained.
  std::optional<TimePoint> DrainedSince(std::string_view zone) const;

  // When the zone was last restored; nothing when it never was or is drained now.
  std::optional<TimePoint> RestoredAt(std::string_view zone) const;

  // In alphabetical order.
  std::vector<std::string> Zones() const;

  bool IsEmpty() const { return drained_.empty(); }

 private:
  std::map<std::string, TimePoint, std::less<>> drained_;  // when each was drained
  // when each was restored; only zones that are not drained now
  std::map<std::string, TimePoint, std::less<>> restored_;
};

}  // namespace cartsail
