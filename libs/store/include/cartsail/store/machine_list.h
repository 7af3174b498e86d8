// The platform's lagging list of live and leaving machines.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/json.h"
#include "cartsail/net/http_types.h"

namespace cartsail {

enum class MachineKind { kEngine, kService, kNode };
enum class MachineState { kLive, kLeaving };

struct Machine {
  std::string id;
  MachineKind kind = MachineKind::kEngine;
  MachineState state = MachineState::kLive;
  std::string zone;
  Endpoint address;  // where it serves; a node's peer address
  std::string name;  // an engine's model, a service's name; empty for nodes

  bool operator==(const Machine&) const = default;
};

struct MachineList {
  int64_t version = 0;  // grows with each change the list shows
  std::vector<Machine> machines;
};

json::object EncodeMachine(const Machine& machine);
absl::StatusOr<Machine> DecodeMachine(const json::object& object);

// A list's machines as a JSON array, and back; entries that do not parse are left out.
json::array EncodeMachines(const std::vector<Machine>& machines);
std::vector<Machine> DecodeMachines(const json::array& array);

// Reads the list: GET /machines?since=VERSION. An unchanged list costs an empty answer (304); the
// result then has the same version and no machines.
boost::asio::awaitable<absl::StatusOr<MachineList>> FetchMachineList(
    boost::asio::any_io_executor executor, Endpoint platform, int64_t since, Duration timeout);

}  // namespace cartsail
