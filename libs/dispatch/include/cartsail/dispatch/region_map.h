// Which region each zone lies in, and which regions a request's data residency allows. Regions are
// numbers here, so that placement compares no names. Pure.
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

// Of a zone that the settings name no region of.
inline constexpr RegionIndex kUnknownRegion = -1;

// The regions in which one request may be served.
class RegionSet {
 public:
  // All of them, unknown ones included.
  RegionSet() = default;
  // These only: `allowed` by region.
  explicit RegionSet(std::vector<bool> allowed) : allowed_(std::move(allowed)) {}

  bool IsRestricted() const { return allowed_.has_value(); }

  // A restricted request never goes where the region is not known: it may be any.
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

  // Regions that are known, numbered from 0 in alphabetical order.
  size_t Count() const { return names_.size(); }
  RegionIndex IndexOfZone(std::string_view zone) const;
  RegionIndex IndexOfName(std::string_view region) const;
  const std::string& NameOf(RegionIndex region) const;

  // The regions that `profile` allows. A region that no zone lies in allows nothing.
  RegionSet AllowedFor(const RequestProfile& profile) const;

  bool Allows(const RequestProfile& profile, std::string_view zone) const {
    return AllowedFor(profile).Allows(IndexOfZone(zone));
  }

  // Prompt memory moves within one region only: it is gigabytes, and links between regions are
  // narrow. Zones of no known region share only where no region is known at all.
  bool MayShareMemory(RegionIndex from, RegionIndex to) const {
    return from == to && (from != kUnknownRegion || names_.empty());
  }

 private:
  std::vector<std::string> names_;
  std::map<std::string, RegionIndex, std::less<>> zones_;
};

// Names of regions in alphabetical order, or nothing: all. What both allow.
using Residency = std::optional<std::vector<std::string>>;
Residency Intersection(const Residency& left, const Residency& right);

}  // namespace cartsail
