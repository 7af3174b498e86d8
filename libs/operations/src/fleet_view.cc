#include "cartsail/operations/fleet_view.h"

#include <algorithm>

namespace cartsail {
namespace {

// The entry with this name, new where there was none.
template <typename Row>
Row& RowOf(std::vector<Row>* rows, std::string Row::*name, const std::string& value) {
  const auto found =
      std::find_if(rows->begin(), rows->end(), [&](const Row& row) { return row.*name == value; });
  if (found != rows->end()) return *found;
  Row& added = rows->emplace_back();
  added.*name = value;
  return added;
}

void RaiseTo(int64_t* figure, int64_t value) { *figure = std::max(*figure, value); }

// The rows of a list; those that are no object are skipped.
std::vector<json::object> Rows(const json::object& answer, std::string_view list) {
  std::vector<json::object> rows;
  const json::array* array = GetArray(answer, list);
  if (array == nullptr) return rows;
  for (const json::value& value : *array) {
    if (value.is_object()) rows.push_back(value.as_object());
  }
  return rows;
}

void AddZone(const json::object& row, FleetView* view) {
  const std::string zone = GetString(row, "zone");
  view->zones_by_region[GetString(row, "region")].insert(zone);
  if (!GetBool(row, "drained")) return;
  DrainedZone& drained = RowOf(&view->drained, &DrainedZone::zone, zone);
  ++drained.nodes;
  RaiseTo(&drained.drained_for_ms, GetInt(row, "drained_for_ms"));
  RaiseTo(&drained.backends, GetInt(row, "backends"));
  RaiseTo(&drained.requests, GetInt(row, "requests"));
}

void AddRoom(const json::object& row, FleetView* view) {
  RoomElsewhere& room = RowOf(&view->rooms, &RoomElsewhere::service, GetString(row, "service"));
  RaiseTo(&room.backends, GetInt(row, "backends"));
  RaiseTo(&room.cold, GetInt(row, "cold"));
  RaiseTo(&room.slots, GetInt(row, "slots"));
  RaiseTo(&room.requests, GetInt(row, "requests") + GetInt(row, "drained_requests"));
}

void AddQuarantined(const json::object& row, FleetView* view) {
  QuarantinedOnNodes& quarantined =
      RowOf(&view->quarantined, &QuarantinedOnNodes::fingerprint, GetString(row, "fingerprint"));
  quarantined.parts = GetString(row, "parts");
  RaiseTo(&quarantined.left_ms, GetInt(row, "left_ms"));
  ++quarantined.nodes;
}

void AddResidency(const json::object& row, FleetView* view) {
  ResidencyRule rule{GetString(row, "kind"), GetString(row, "name"), {}, 1};
  if (const json::array* regions = GetArray(row, "regions")) {
    for (const json::value& region : *regions) {
      if (region.is_string()) rule.regions.emplace_back(region.as_string());
    }
  }
  const auto same = [&rule](const ResidencyRule& other) { return other.IsSame(rule); };
  const auto found = std::find_if(view->residency.begin(), view->residency.end(), same);
  if (found == view->residency.end()) {
    view->residency.push_back(std::move(rule));
  } else {
    ++found->nodes;
  }
}

}  // namespace

bool FleetView::IsAgreed() const {
  return std::all_of(drained.begin(), drained.end(),
                     [this](const DrainedZone& zone) { return zone.nodes == nodes; });
}

FleetView MakeFleetView(const std::vector<json::object>& answers) {
  FleetView view;
  for (const json::object& answer : answers) {
    ++view.nodes;
    view.omitted += GetInt(answer, "omitted");
    for (const json::object& row : Rows(answer, "zones")) AddZone(row, &view);
    for (const json::object& row : Rows(answer, "services")) AddRoom(row, &view);
    for (const json::object& row : Rows(answer, "residency")) AddResidency(row, &view);
    for (const json::object& row : Rows(answer, "quarantined")) AddQuarantined(row, &view);
  }
  return view;
}

}  // namespace cartsail
