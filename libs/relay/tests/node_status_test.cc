// What a node tells operators, and when a drain raises an alarm.
#include "status/node_status.h"

#include "cartsail/base/json.h"
#include "catalog/invalid_entry_log.h"
#include "status/drain_alarm.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr TimePoint kNow = TimePoint() + seconds(1000);

Backend MakeBackend(const std::string& id, const std::string& zone) {
  Backend backend;
  backend.id = id;
  backend.service = "chat";
  backend.address = "10.0.0.1:" + id.substr(1);
  backend.zone = zone;
  backend.slots = 2;
  backend.started_ms = 1700;
  return backend;
}

struct Node {
  Node() : dispatcher(PlacementPolicy(), "a") {
    ServiceRule service;
    service.name = "chat";
    document.version = 7;
    document.services.push_back(service);
    for (const char* id : {"b1", "b2"}) dispatcher.Registry().Put(MakeBackend(id, "a"));
    dispatcher.Registry().Put(MakeBackend("b3", "b"));
  }

  // Requests begin anywhere and do not end.
  void Run(int requests) {
    for (int i = 0; i < requests; ++i) {
      RequestProfile profile;
      profile.service = "chat";
      cr_assert(dispatcher.Place(profile, {}, kNow).has_value());
    }
  }

  NodeView View() const {
    return {"n1", "a", "north", true, zone_regions, document, dispatcher, quarantined};
  }

  json::array Reasons(const std::string& id) const {
    const std::optional<json::object> told = DescribeBackend(View(), id, kNow);
    cr_assert(told.has_value());
    return *GetArray(*told, "not_chosen");
  }

  std::map<std::string, std::string> zone_regions{{"a", "north"}, {"b", "south"}};
  RoutingDocument document;
  QuarantineList quarantined;
  Dispatcher dispatcher;
};

Test(node_status, tells_zones_with_their_drains_and_the_room_elsewhere) {
  Node node;
  node.Run(3);
  node.dispatcher.Registry().DrainZone("b", kNow - milliseconds(1500));
  const json::object told = DescribeNode(node.View(), kNow);
  cr_assert(GetInt(told, "revision") == 7);
  const json::array& zones = *GetArray(told, "zones");
  cr_assert(zones.size() == 2);
  cr_assert(!GetBool(zones[0].as_object(), "drained"));
  cr_assert(GetBool(zones[1].as_object(), "drained"));
  cr_assert(GetInt(zones[1].as_object(), "drained_for_ms") == 1500);
  cr_assert(GetString(zones[1].as_object(), "region") == "south");
  const json::object& service = GetArray(told, "services")->at(0).as_object();
  cr_assert(GetInt(service, "slots") == 4);
  cr_assert(GetInt(service, "requests") + GetInt(service, "drained_requests") == 3);
  cr_assert(GetInt(service, "drained_backends") == 1);
}

Test(node_status, tells_the_regions_to_which_requests_are_bound) {
  Node node;
  TenantRule tenant;
  tenant.name = "t";
  tenant.residency = {"south"};
  node.document.tenants.push_back(tenant);
  RouteRule open;
  open.name = "anywhere";
  node.document.routes.push_back(open);
  const json::object told = DescribeNode(node.View(), kNow);
  const json::array& residency = *GetArray(told, "residency");
  cr_assert(residency.size() == 1);
  cr_assert(GetString(residency[0].as_object(), "name") == "t");
  cr_assert(GetArray(residency[0].as_object(), "regions")->at(0).as_string() == "south");
}

Test(node_status, is_bounded) {
  Node node;
  for (int i = 0; i < 500; ++i) {
    TenantRule tenant;
    tenant.name = "t" + std::to_string(i);
    tenant.residency = {"south"};
    node.document.tenants.push_back(tenant);
  }
  const json::object told = DescribeNode(node.View(), kNow);
  cr_assert(GetArray(told, "residency")->size() == kMaxStatusRows);
  cr_assert(GetInt(told, "omitted") == 500 - static_cast<int64_t>(kMaxStatusRows));
}

Test(node_status, names_each_reason_why_a_back_end_is_not_chosen) {
  Node node;
  cr_assert(node.Reasons("b1").empty());
  cr_assert(!DescribeBackend(node.View(), "unknown", kNow).has_value());
  node.dispatcher.Registry().DrainZone("b", kNow);
  cr_assert((node.Reasons("b3") == json::array{"zone_drained"}));
  node.dispatcher.Registry().MarkLeaving(node.dispatcher.Registry().Find("b1")->key);
  cr_assert((node.Reasons("b1") == json::array{"leaving"}));
  node.Run(2);
  cr_assert((node.Reasons("b2") == json::array{"all_slots_taken"}));
  Backend cold = MakeBackend("b4", "a");
  cold.cold_until = kNow + seconds(2);
  node.dispatcher.Registry().Put(cold);
  cr_assert((node.Reasons("b4") == json::array{"cold"}));
  cr_assert(GetInt(*DescribeBackend(node.View(), "b4", kNow), "cold_for_ms") == 2000);
  Backend newer = MakeBackend("b5", "a");
  newer.address = cold.address;
  newer.created_revision = 9;
  node.dispatcher.Registry().Put(newer);
  cr_assert((node.Reasons("b4") == json::array{"newer_entry_at_its_address", "cold"}));
  node.dispatcher.NoteNotice(node.dispatcher.Registry().Find("b5")->key, {false, seconds(1)}, kNow);
  cr_assert((node.Reasons("b5") == json::array{"backoff"}));
}

Test(drain_alarm, is_given_where_little_room_is_left_and_seldom) {
  DrainAlarm alarm;
  ServiceCapacity room;
  room.service = "chat";
  room.slots = 10;
  room.requests = 6;
  room.drained_requests = 2;
  room.drained_backends = 1;
  cr_assert(!alarm.IsDue(room, kNow), "8 of 10 are not above the share");
  room.drained_requests = 3;
  cr_assert(alarm.IsDue(room, kNow));
  cr_assert(!alarm.IsDue(room, kNow + DrainAlarm::kInterval - milliseconds(1)));
  ServiceCapacity other = room;
  other.service = "ledger";
  cr_assert(alarm.IsDue(other, kNow), "each service has its own");
  cr_assert(alarm.IsDue(room, kNow + DrainAlarm::kInterval));
  room.drained_backends = 0;
  cr_assert(!alarm.IsDue(room, kNow + seconds(60)), "not the doing of a drain");
}

Test(invalid_entry_log, names_an_entry_once_in_a_minute) {
  InvalidEntryLog log;
  cr_assert(log.MayLog("a", kNow));
  cr_assert(!log.MayLog("a", kNow + seconds(59)));
  cr_assert(log.MayLog("b", kNow + seconds(59)));
  cr_assert(log.MayLog("a", kNow + seconds(60)));
}

Test(invalid_entry_log, remembers_a_bounded_number_of_entries) {
  InvalidEntryLog log;
  size_t lines = 0;
  for (int i = 0; i < 5000; ++i) lines += log.MayLog(std::to_string(i), kNow) ? 1 : 0;
  cr_assert(lines == InvalidEntryLog::kMaxEntries);
  cr_assert(log.MayLog("later", kNow + InvalidEntryLog::kInterval));
}

Test(node_status, tells_which_requests_are_quarantined) {
  Node node;
  (void)node.quarantined.Add({0xab, kNow + seconds(60)}, kNow);
  const json::object told = DescribeNode(node.View(), kNow);
  const json::array* rows = GetArray(told, "quarantined");
  cr_assert(rows != nullptr && rows->size() == 1);
  cr_assert(GetString(rows->at(0).as_object(), "fingerprint") == "00000000000000ab");
  cr_assert(GetInt(rows->at(0).as_object(), "left_ms") == 60000);
}

}  // namespace
}  // namespace cartsail
