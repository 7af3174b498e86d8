#include "cartsail/operations/fleet_view.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

json::object Answer(std::string_view text) {
  absl::StatusOr<json::object> object = ParseJsonObject(text);
  cr_assert(object.ok());
  return std::move(*object);
}

constexpr char kFirst[] = R"({"zones":[
  {"zone":"a","region":"north","drained":false,"backends":2,"requests":9},
  {"zone":"b","region":"south","drained":true,"drained_for_ms":900,"backends":3,"requests":4}],
  "services":[{"service":"chat","backends":2,"cold":1,"slots":64,"requests":9,
               "drained_backends":3,"drained_requests":4}],
  "residency":[{"kind":"tenant","name":"t","regions":["north"]}],"omitted":2,
  "quarantined":[{"fingerprint":"00000000000000ab","parts":"00000000000000cd","left_ms":590000}]})";
constexpr char kSecond[] = R"({"zones":[
  {"zone":"a","region":"north","drained":false,"backends":2,"requests":1},
  {"zone":"b","region":"south","drained":false,"backends":3,"requests":1}],
  "services":[{"service":"chat","backends":5,"slots":160,"requests":2}],
  "residency":[{"kind":"tenant","name":"t","regions":["north"]}]})";

Test(fleet_view, tells_which_nodes_have_a_drain_in_force) {
  const FleetView view = MakeFleetView({Answer(kFirst), Answer(kSecond)});
  cr_assert(view.nodes == 2 && view.drained.size() == 1);
  cr_assert(view.drained[0].zone == "b" && view.drained[0].nodes == 1);
  cr_assert(view.drained[0].drained_for_ms == 900 && view.drained[0].requests == 4);
  cr_assert(!view.IsAgreed());
  cr_assert(MakeFleetView({Answer(kFirst), Answer(kFirst)}).IsAgreed());
}

Test(fleet_view, counts_requests_of_drained_zones_against_the_room_elsewhere) {
  const FleetView view = MakeFleetView({Answer(kFirst)});
  cr_assert(view.rooms.size() == 1);
  cr_assert(view.rooms[0].slots == 64 && view.rooms[0].requests == 13 && view.rooms[0].cold == 1);
  cr_assert(view.omitted == 2);
}

Test(fleet_view, puts_zones_into_regions_and_counts_nodes_by_residency) {
  FleetView view = MakeFleetView({Answer(kFirst), Answer(kSecond)});
  cr_assert((view.zones_by_region["north"] == std::set<std::string>{"a"}));
  cr_assert((view.zones_by_region["south"] == std::set<std::string>{"b"}));
  cr_assert(view.residency.size() == 1 && view.residency[0].nodes == 2);
}

Test(fleet_view, tells_which_nodes_keep_a_request_from_back_ends) {
  const FleetView view = MakeFleetView({Answer(kFirst), Answer(kSecond), Answer(kFirst)});
  cr_assert(view.quarantined.size() == 1);
  cr_assert(view.quarantined[0].fingerprint == "00000000000000ab");
  cr_assert(view.quarantined[0].parts == "00000000000000cd");
  cr_assert(view.quarantined[0].left_ms == 590000 && view.quarantined[0].nodes == 2);
}

Test(fleet_view, skips_what_it_cannot_read) {
  const FleetView view = MakeFleetView({Answer(R"({"zones":[7,{"zone":5}],"services":"none"})")});
  cr_assert(view.nodes == 1 && view.drained.empty() && view.rooms.empty());
}

}  // namespace
}  // namespace cartsail
