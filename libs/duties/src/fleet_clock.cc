#include "cartsail/duties/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace cartsail {
namespace {

// Readings older than this are dropped. Nodes exchange gossip four times a second, so some tens of
// peers are heard from in this time.
constexpr Duration kReadingLifetime = seconds(15);
// The median of some tens of clocks is as good as that of all, regardless of the fleet's size.
constexpr size_t kMaxReadings = 64;

std::chrono::milliseconds OffsetOf(WallTime wall, TimePoint now) {
  return wall - std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
}

}  // namespace

void FleetClock::AddPeerReading(const std::string& host, WallTime wall, TimePoint now) {
  if (wall.count() <= 0) return;  // the peer sends no time
  std::erase_if(readings_,
                [now](const auto& entry) { return now - entry.second.updated > kReadingLifetime; });
  if (readings_.size() >= kMaxReadings && !readings_.contains(host)) return;
  readings_[host] = {OffsetOf(wall, now), now};
}

void FleetClock::AddOwnReading(WallTime wall, TimePoint now) { AddPeerReading("", wall, now); }

WallTime FleetClock::At(TimePoint now) const {
  if (readings_.empty()) return {};
  std::vector<std::chrono::milliseconds> offsets;
  for (const auto& [host, reading] : readings_) offsets.push_back(reading.offset);
  const auto middle = offsets.begin() + static_cast<int64_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
}

}  // namespace cartsail
