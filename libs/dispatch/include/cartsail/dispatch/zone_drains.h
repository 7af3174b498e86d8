// The zones that operators have drained: their back ends get no new request until the zone is
// restored. Pure.
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
  // Each returns true when that changed anything.
  bool Drain(const std::string& zone, TimePoint now);
  bool Restore(const std::string& zone, TimePoint now);
  // All drained zones, as known at one moment.
  bool ReplaceAll(const std::set<std::string>& zones, TimePoint now);

  bool IsDrained(std::string_view zone) const { return drained_.contains(zone); }

  // Since when it is drained, as this node learnt it; nothing when it is not.
  std::optional<TimePoint> DrainedSince(std::string_view zone) const;

  // When the zone was last restored; nothing when it never was.
  std::optional<TimePoint> RestoredAt(std::string_view zone) const;

  // In alphabetical order.
  std::vector<std::string> Zones() const;

  bool IsEmpty() const { return drained_.empty(); }

 private:
  std::map<std::string, TimePoint, std::less<>> drained_;   // since when
  std::map<std::string, TimePoint, std::less<>> restored_;  // when, of those not drained now
};

}  // namespace cartsail
