#include "cartsail/dispatch/region_map.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cartsail {

RegionMap::RegionMap(const std::map<std::string, std::string>& zone_regions) {
  std::set<std::string> names;
  for (const auto& [zone, region] : zone_regions) {
    if (!region.empty()) names.insert(region);
  }
  names_.assign(names.begin(), names.end());
  for (const auto& [zone, region] : zone_regions) zones_[zone] = IndexOfName(region);
}

RegionIndex RegionMap::IndexOfZone(std::string_view zone) const {
  const auto entry = zones_.find(zone);
  return entry == zones_.end() ? kUnknownRegion : entry->second;
}

RegionIndex RegionMap::IndexOfName(std::string_view region) const {
  const auto entry = std::lower_bound(names_.begin(), names_.end(), region);
  if (entry == names_.end() || *entry != region) return kUnknownRegion;
  return static_cast<RegionIndex>(entry - names_.begin());
}

const std::string& RegionMap::NameOf(RegionIndex region) const {
  static const std::string none;
  const bool known = region >= 0 && static_cast<size_t>(region) < names_.size();
  return known ? names_[static_cast<size_t>(region)] : none;
}

RegionSet RegionMap::AllowedFor(const RequestProfile& profile) const {
  if (!profile.residency.has_value()) return RegionSet();
  std::vector<bool> allowed(names_.size(), false);
  for (const std::string& name : *profile.residency) {
    const RegionIndex region = IndexOfName(name);
    if (region != kUnknownRegion) allowed[static_cast<size_t>(region)] = true;
  }
  return RegionSet(std::move(allowed));
}

Residency Intersection(const Residency& left, const Residency& right) {
  if (!left.has_value()) return right;
  if (!right.has_value()) return left;
  std::set<std::string> first(left->begin(), left->end());
  std::set<std::string> both;
  for (const std::string& region : *right) {
    if (first.contains(region)) both.insert(region);
  }
  return std::vector<std::string>(both.begin(), both.end());
}

}  // namespace cartsail
