// Maps zones to regions, and a request's data residency to the regions that it allows. Regions are
// represented by indices, so that placement compares no names. Performs no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/dispatch/request_profile.h"

namespace cartsail {

using RegionIndex = int;

// Region of a zone that has no region in the settings.
inline constexpr RegionIndex kUnknownRegion = -1;

// The regions in which one request may be served.
class RegionSet {
 public:
  // All regions, including unknown ones.
  RegionSet() = default;
  // Only the regions for which `allowed`, indexed by region, is true.
  explicit RegionSet(std::vector<bool> allowed) : allowed_(std::move(allowed)) {}

  bool IsRestricted() const { return allowed_.has_value(); }

  // A restricted request is never sent to an unknown region, which may be any.
  bool Allows(RegionIndex region) const {
    if (!allowed_.has_value()) return true;
    return region >= 0 && static_cast<size_t>(region) < allowed_->size() &&
           (*allowed_)[static_cast<size_t>(region)];
  }

 private:
  std::optional<std::vector<bool>> allowed_;
};

class RegionMap {
 public:
  RegionMap() = default;
  // `zone_regions`: the region of each zone.
  explicit RegionMap(const std::map<std::string, std::string>& zone_regions);

  // Number of known regions; they are numbered from 0 in alphabetical order.
  size_t Count() const { return names_.size(); }
  RegionIndex IndexOfZone(std::string_view zone) const;
  RegionIndex IndexOfName(std::string_view region) const;
  const std::string& NameOf(RegionIndex region) const;

  // The regions that the data residency of `profile` allows. A region without any zone allows
  // nothing.
  RegionSet AllowedFor(const RequestProfile& profile) const;

  bool Allows(const RequestProfile& profile, std::string_view zone) const {
    return AllowedFor(profile).Allows(IndexOfZone(zone));
  }

  // KV cache is transferred within one region only: it takes gigabytes, and links between regions
  // are narrow. Zones without a known region may share only when no region is configured at all.
  bool MayShareMemory(RegionIndex from, RegionIndex to) const {
    return from == to && (from != kUnknownRegion || names_.empty());
  }

 private:
  std::vector<std::string> names_;
  std::map<std::string, RegionIndex, std::less<>> zones_;
};

// Names of allowed regions in alphabetical order; nothing: all regions. Intersection() returns what
// both allow.
using Residency = std::optional<std::vector<std::string>>;
Residency Intersection(const Residency& left, const Residency& right);

}  // namespace cartsail
