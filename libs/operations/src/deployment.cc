#include "cartsail/operations/deployment.h"

#include <fmt/format.h>

#include <map>
#include <set>

#include "cartsail/net/http_types.h"
#include "cartsail/store/machine_list.h"

namespace cartsail {
namespace {

constexpr int64_t kDefaultHeartbeatMs = 250;
constexpr int64_t kDefaultSuspectMs = 1500;

class Checker {
 public:
  DeploymentFaults Run(const json::object& deployment) {
    CheckPlatform(deployment);
    CheckNodes(deployment);
    CheckBackEnds(deployment);
    CheckZones();
    return std::move(faults_);
  }

 private:
  void Error(std::string text) { faults_.errors.push_back(std::move(text)); }
  void Warn(std::string text) { faults_.warnings.push_back(std::move(text)); }

  // Reads an address; reports it when it is none or stands twice.
  bool TakeAddress(const std::string& owner, const std::string& field, const std::string& text,
                   Endpoint* endpoint) {
    if (!ParseEndpoint(text, endpoint) || endpoint->port == 0) {
      Error(fmt::format("{}: {} '{}' is no IP:PORT", owner, field, text));
      return false;
    }
    const auto [entry, added] = addresses_.emplace(endpoint->ToString(), owner + " " + field);
    if (!added) Error(fmt::format("{}: {} {} is also {}", owner, field, text, entry->second));
    return true;
  }

  void TakeId(const std::string& id) {
    if (id.empty()) Error("a machine has no id");
    if (!id.empty() && !ids_.insert(id).second) Error(fmt::format("id {} stands twice", id));
  }

  void CheckPlatform(const json::object& deployment) {
    Endpoint endpoint;
    TakeAddress("platform", "address", GetString(deployment, "platform"), &endpoint);
  }

  void CheckNodes(const json::object& deployment) {
    const json::array* nodes = GetArray(deployment, "nodes");
    if (nodes == nullptr || nodes->empty()) {
      Error("no nodes");
      return;
    }
    for (const json::value& entry : *nodes) {
      if (entry.is_object()) {
        CheckNode(entry.as_object());
      } else {
        Error("a node is an object");
      }
    }
  }

  void CheckNode(const json::object& node) {
    const std::string id = GetString(node, "id");
    TakeId(id);
    const std::string zone = GetString(node, "zone");
    if (zone.empty()) Error(fmt::format("{}: no zone", id));
    ++nodes_by_zone_[zone];
    Endpoint endpoint;
    TakeAddress(id, "listen", GetString(node, "listen"), &endpoint);
    if (TakeAddress(id, "admin", GetString(node, "admin"), &endpoint) &&
        !endpoint.host.starts_with("127.") && endpoint.host != "::1") {
      Warn(fmt::format("{}: the admin port is open beyond this machine", id));
    }
    TakeAddress(id, "peer", GetString(node, "peer"), &endpoint);
    const int64_t heartbeat = GetInt(node, "heartbeat_ms", kDefaultHeartbeatMs);
    const int64_t suspect = GetInt(node, "suspect_ms", kDefaultSuspectMs);
    if (heartbeat <= 0 || suspect < 2 * heartbeat) {
      Error(fmt::format("{}: suspect_ms must be at least twice heartbeat_ms", id));
    }
    if (heartbeats_.insert(heartbeat).second && heartbeats_.size() == 2) {
      Warn("nodes have different heartbeat intervals");
    }
  }

  void CheckBackEnds(const json::object& deployment) {
    const json::array* back_ends = GetArray(deployment, "back_ends");
    if (back_ends == nullptr) return;
    for (const json::value& entry : *back_ends) {
      if (!entry.is_object()) {
        Error("a back end is an object");
        continue;
      }
      const absl::StatusOr<Machine> machine = DecodeMachine(entry.as_object());
      if (!machine.ok()) {
        Error(fmt::format("{}: {}", GetString(entry.as_object(), "id"),
                          std::string(machine.status().message())));
        continue;
      }
      TakeId(machine->id);
      Endpoint endpoint;
      TakeAddress(machine->id, "address", machine->address.ToString(), &endpoint);
      if (machine->name.empty()) {
        Error(fmt::format("{}: no name (an engine's model, a service's group)", machine->id));
      }
      back_end_zones_.insert(machine->zone);
    }
  }

  void CheckZones() {
    for (const auto& [zone, count] : nodes_by_zone_) {
      if (count == 1) Warn(fmt::format("zone {} has one node: its loss empties the zone", zone));
    }
    for (const std::string& zone : back_end_zones_) {
      if (!nodes_by_zone_.contains(zone)) {
        Warn(fmt::format("zone {} has back ends but no nodes: other zones own them", zone));
      }
    }
  }

  DeploymentFaults faults_;
  std::map<std::string, std::string> addresses_;
  std::set<std::string> ids_;
  std::map<std::string, int> nodes_by_zone_;
  std::set<std::string> back_end_zones_;
  std::set<int64_t> heartbeats_;
};

}  // namespace

DeploymentFaults CheckDeployment(const json::object& deployment) {
  return Checker().Run(deployment);
}

}  // namespace cartsail
