#include "cartsail/dispatch/zone_drains.h"

namespace cartsail {
namespace {

std::optional<TimePoint> TimeOf(const std::map<std::string, TimePoint, std::less<>>& times,
                                std::string_view zone) {
  const auto entry = times.find(zone);
  if (entry == times.end()) return std::nullopt;
  return entry->second;
}

}  // namespace

bool ZoneDrains::Drain(const std::string& zone, TimePoint now) {
  if (!drained_.emplace(zone, now).second) return false;
  restored_.erase(zone);
  return true;
}

bool ZoneDrains::Restore(const std::string& zone, TimePoint now) {
  if (drained_.erase(zone) == 0) return false;
  restored_[zone] = now;
  return true;
}

bool ZoneDrains::ReplaceAll(const std::set<std::string>& zones, TimePoint now) {
  bool changed = false;
  for (const std::string& zone : Zones()) {
    if (!zones.contains(zone)) changed |= Restore(zone, now);
  }
  for (const std::string& zone : zones) changed |= Drain(zone, now);
  return changed;
}

std::optional<TimePoint> ZoneDrains::DrainedSince(std::string_view zone) const {
  return TimeOf(drained_, zone);
}

std::optional<TimePoint> ZoneDrains::RestoredAt(std::string_view zone) const {
  return TimeOf(restored_, zone);
}

std::vector<std::string> ZoneDrains::Zones() const {
  std::vector<std::string> zones;
  for (const auto& [zone, since] : drained_) zones.push_back(zone);
  return zones;
}

}  // namespace cartsail
