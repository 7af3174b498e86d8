#include "cartsail/store/machine_list.h"

#include <fmt/format.h>

#include "cartsail/base/counters.h"
#include "cartsail/base/status.h"
#include "cartsail/net/http_client.h"

namespace cartsail {
namespace {

constexpr std::string_view kKindNames[] = {"engine", "service", "node"};
constexpr int kHttpNotModified = 304;

}  // namespace

json::object EncodeMachine(const Machine& machine) {
  return {
      {"id", machine.id},
      {"kind", kKindNames[static_cast<int>(machine.kind)]},
      {"state", machine.state == MachineState::kLive ? "live" : "leaving"},
      {"zone", machine.zone},
      {"address", machine.address.ToString()},
      {"name", machine.name},
  };
}

absl::StatusOr<Machine> DecodeMachine(const json::object& object) {
  Machine machine;
  machine.id = GetString(object, "id");
  machine.zone = GetString(object, "zone");
  machine.name = GetString(object, "name");
  const std::string kind = GetString(object, "kind");
  bool known = false;
  for (int i = 0; i < 3; ++i) {
    if (kKindNames[i] != kind) continue;
    machine.kind = static_cast<MachineKind>(i);
    known = true;
  }
  if (!known || machine.id.empty()) {
    return MakeError(ErrorKind::kInvalidArgument, "a machine needs an id and a known kind");
  }
  machine.state =
      GetString(object, "state") == "leaving" ? MachineState::kLeaving : MachineState::kLive;
  if (!ParseEndpoint(GetString(object, "address"), &machine.address)) {
    return MakeError(ErrorKind::kInvalidArgument, "a machine's address is IP:PORT");
  }
  return machine;
}

json::array EncodeMachines(const std::vector<Machine>& machines) {
  json::array array;
  for (const Machine& machine : machines) array.push_back(EncodeMachine(machine));
  return array;
}

std::vector<Machine> DecodeMachines(const json::array& array) {
  std::vector<Machine> machines;
  for (const json::value& entry : array) {
    if (!entry.is_object()) continue;
    absl::StatusOr<Machine> machine = DecodeMachine(entry.as_object());
    if (machine.ok()) machines.push_back(std::move(*machine));
  }
  return machines;
}

boost::asio::awaitable<absl::StatusOr<MachineList>> FetchMachineList(
    boost::asio::any_io_executor executor, Endpoint platform, int64_t since, Duration timeout) {
  GlobalCounters().platform_calls_total.Add();
  HttpRequest request;
  request.target = fmt::format("/machines?since={}", since);
  absl::StatusOr<HttpResponse> response =
      co_await Fetch(executor, platform, std::move(request), timeout);
  if (!response.ok()) {
    co_return MakeError(ErrorKind::kPlatformUnavailable, response.status().message().data());
  }
  MachineList list;
  list.version = since;
  if (response->status == kHttpNotModified) co_return list;
  if (response->status != 200) {
    co_return MakeError(ErrorKind::kPlatformUnavailable,
                        fmt::format("machine list: status {}", response->status));
  }
  absl::StatusOr<json::object> body = ParseJsonObject(response->body);
  if (!body.ok()) co_return body.status();
  list.version = GetInt(*body, "version");
  const json::array* machines = GetArray(*body, "machines");
  if (machines == nullptr) co_return list;
  list.machines = DecodeMachines(*machines);
  co_return list;
}

}  // namespace cartsail
