#include "cartsail/dispatch/region_map.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

using Names = std::vector<std::string>;

RegionMap TwoRegions() { return RegionMap({{"e1", "east"}, {"e2", "east"}, {"w1", "west"}}); }

RequestProfile KeptIn(Names regions) {
  RequestProfile profile;
  profile.residency = std::move(regions);
  return profile;
}

Test(region_map, zones_of_one_region_share_its_index) {
  const RegionMap regions = TwoRegions();
  cr_assert(regions.Count() == 2);
  cr_assert(regions.IndexOfZone("e1") == regions.IndexOfZone("e2"));
  cr_assert(regions.IndexOfZone("e1") != regions.IndexOfZone("w1"));
  cr_assert(regions.NameOf(regions.IndexOfZone("w1")) == "west");
  cr_assert(regions.IndexOfZone("z9") == kUnknownRegion);
  cr_assert(regions.NameOf(kUnknownRegion).empty());
}

Test(region_map, a_restricted_request_stays_in_its_regions) {
  const RegionMap regions = TwoRegions();
  cr_assert(regions.Allows(KeptIn({"east"}), "e2"));
  cr_assert(!regions.Allows(KeptIn({"east"}), "w1"));
  cr_assert(regions.Allows(KeptIn({"east", "west"}), "w1"));
}

Test(region_map, a_restricted_request_never_goes_to_a_zone_of_no_known_region) {
  cr_assert(!TwoRegions().Allows(KeptIn({"east", "west"}), "z9"));
  cr_assert(!RegionMap().Allows(KeptIn({"east"}), "e1"));
}

Test(region_map, regions_without_zones_allow_nothing) {
  cr_assert(!TwoRegions().Allows(KeptIn({"north"}), "e1"));
  cr_assert(!TwoRegions().Allows(KeptIn({}), "e1"));
}

Test(region_map, an_unrestricted_request_may_go_anywhere) {
  cr_assert(TwoRegions().Allows(RequestProfile(), "w1"));
  cr_assert(TwoRegions().Allows(RequestProfile(), "z9"));
  cr_assert(!TwoRegions().AllowedFor(RequestProfile()).IsRestricted());
}

Test(region_map, prompt_memory_moves_within_a_known_region) {
  const RegionMap regions = TwoRegions();
  cr_assert(regions.MayShareMemory(0, 0));
  cr_assert(!regions.MayShareMemory(0, 1));
  cr_assert(!regions.MayShareMemory(kUnknownRegion, kUnknownRegion));
  cr_assert(RegionMap().MayShareMemory(kUnknownRegion, kUnknownRegion));
}

Test(region_map, both_restrictions_apply) {
  cr_assert(!Intersection(std::nullopt, std::nullopt).has_value());
  cr_assert(*Intersection(Names{"east"}, std::nullopt) == Names{"east"});
  cr_assert(*Intersection(std::nullopt, Names{"east"}) == Names{"east"});
  cr_assert(*Intersection(Names{"west", "east"}, Names{"north", "west"}) == Names{"west"});
  cr_assert(Intersection(Names{"east"}, Names{"west"})->empty());
}

}  // namespace
}  // namespace cartsail
