// cartsailctl zones, regions, quarantine and explain-backend: what the nodes tell of drains,
// regions, requests that are kept from back ends, and one back end.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include "cartsail/net/http_client.h"
#include "cartsail/operations/fleet_view.h"
#include "command.h"

namespace cartsail::ctl {
namespace {

namespace asio = boost::asio;

constexpr char kNodesNeeded[] =
    "{} needs --nodes ADDRESS,ADDRESS,...: the addresses at which the nodes serve /metrics";

struct Answers {
  std::vector<json::object> nodes;
  std::vector<std::string> silent;  // addresses

  std::string SilentText() const {
    std::string text;
    for (const std::string& address : silent) text += address + " does not answer\n";
    return text;
  }
};

asio::awaitable<Answers> AskAll(asio::io_context& context, const CommandOptions& options) {
  Answers answers;
  for (const Endpoint& node : options.nodes) {
    absl::StatusOr<json::object> status = co_await FetchNodeStatus(context, node, "/status");
    if (status.ok()) {
      answers.nodes.push_back(std::move(*status));
    } else {
      answers.silent.push_back(node.ToString());
    }
  }
  co_return answers;
}

// Fails where a node does not answer.
CommandResult ResultOf(const Answers& answers, const std::string& text, json::object object) {
  CommandResult result;
  result.text = answers.SilentText() + text;
  result.object = std::move(object);
  result.exit_code = answers.silent.empty() ? kExitOk : kExitFailed;
  return result;
}

std::string DrainsText(const FleetView& view) {
  if (view.drained.empty()) return "no zone is drained\n";
  std::string text = fmt::format("{:<14} {:>10} {:>10} {:>9} {:>9}\n", "drained zone", "for s",
                                 "in force", "back ends", "requests");
  for (const DrainedZone& zone : view.drained) {
    text += fmt::format("{:<14} {:>10.1f} {:>10} {:>9} {:>9}\n", zone.zone,
                        static_cast<double>(zone.drained_for_ms) / 1e3,
                        fmt::format("{}/{}", zone.nodes, view.nodes), zone.backends, zone.requests);
  }
  return text;
}

std::string RoomsText(const FleetView& view) {
  std::string text = fmt::format("\n{:<20} {:>9} {:>6} {:>9} {:>9}\n", "service", "back ends",
                                 "cold", "slots", "requests");
  for (const RoomElsewhere& room : view.rooms) {
    text += fmt::format("{:<20} {:>9} {:>6} {:>9} {:>9}\n", room.service, room.backends, room.cold,
                        room.slots, room.requests);
  }
  return text;
}

json::object ZonesJson(const FleetView& view) {
  json::array drained;
  for (const DrainedZone& zone : view.drained) {
    drained.push_back(json::object{{"zone", zone.zone},
                                   {"drained_for_ms", zone.drained_for_ms},
                                   {"nodes", zone.nodes},
                                   {"backends", zone.backends},
                                   {"requests", zone.requests}});
  }
  json::array services;
  for (const RoomElsewhere& room : view.rooms) {
    services.push_back(json::object{{"service", room.service},
                                    {"backends", room.backends},
                                    {"cold", room.cold},
                                    {"slots", room.slots},
                                    {"requests", room.requests}});
  }
  return {{"nodes", view.nodes}, {"drained", drained}, {"services", services}};
}

std::string RegionsText(const FleetView& view) {
  std::string text = fmt::format("{:<16} {}\n", "region", "zones");
  for (const auto& [region, zones] : view.zones_by_region) {
    text +=
        fmt::format("{:<16} {}\n", region.empty() ? "(not told)" : region, fmt::join(zones, ", "));
  }
  text += fmt::format("\n{:<8} {:<24} {:>9} {}\n", "bound", "name", "in force", "regions");
  for (const ResidencyRule& rule : view.residency) {
    text +=
        fmt::format("{:<8} {:<24} {:>9} {}\n", rule.kind, rule.name,
                    fmt::format("{}/{}", rule.nodes, view.nodes), fmt::join(rule.regions, ", "));
  }
  if (view.residency.empty()) text += "no tenant or route is bound to regions\n";
  if (view.omitted > 0) text += fmt::format("{} rows were left out by the nodes\n", view.omitted);
  return text;
}

json::object RegionsJson(const FleetView& view) {
  json::object regions;
  for (const auto& [region, zones] : view.zones_by_region) {
    regions[region] = json::array(zones.begin(), zones.end());
  }
  json::array residency;
  for (const ResidencyRule& rule : view.residency) {
    residency.push_back(
        json::object{{"kind", rule.kind},
                     {"name", rule.name},
                     {"nodes", rule.nodes},
                     {"regions", json::array(rule.regions.begin(), rule.regions.end())}});
  }
  return {{"nodes", view.nodes},
          {"regions", std::move(regions)},
          {"residency", std::move(residency)},
          {"omitted", view.omitted}};
}

std::string QuarantineText(const FleetView& view) {
  if (view.quarantined.empty()) return "no request is quarantined\n";
  std::string text =
      fmt::format("{:<18} {:>8} {:>10}  {}\n", "fingerprint", "left s", "in force", "parts");
  for (const QuarantinedOnNodes& request : view.quarantined) {
    const std::string_view parts = request.parts.empty() ? "-" : std::string_view(request.parts);
    text += fmt::format("{:<18} {:>8.0f} {:>10}  {}\n", request.fingerprint,
                        static_cast<double>(request.left_ms) / 1e3,
                        fmt::format("{}/{}", request.nodes, view.nodes), parts);
  }
  return text;
}

json::object QuarantineJson(const FleetView& view) {
  json::array quarantined;
  for (const QuarantinedOnNodes& request : view.quarantined) {
    quarantined.push_back(json::object{{"fingerprint", request.fingerprint},
                                       {"parts", request.parts},
                                       {"left_ms", request.left_ms},
                                       {"nodes", request.nodes}});
  }
  return {{"nodes", view.nodes}, {"quarantined", std::move(quarantined)}};
}

std::string ReasonsOf(const json::object& told) {
  const json::array* reasons = GetArray(told, "not_chosen");
  if (reasons == nullptr || reasons->empty()) return "may be chosen";
  std::string text = "not chosen:";
  for (const json::value& reason : *reasons) {
    if (reason.is_string()) text += fmt::format(" {}", std::string_view(reason.as_string()));
  }
  return text;
}

std::string BackendText(const json::object& told) {
  std::string text =
      fmt::format("{:<12} {} at {} zone {}{} started_ms {} requests {}/{}", GetString(told, "node"),
                  GetString(told, "state"), GetString(told, "address"), GetString(told, "zone"),
                  GetBool(told, "zone_drained") ? " (drained)" : "", GetInt(told, "started_ms"),
                  GetInt(told, "requests"), GetInt(told, "slots"));
  const int64_t cold_for_ms = GetInt(told, "cold_for_ms");
  if (cold_for_ms > 0) text += fmt::format(", cold for {} ms", cold_for_ms);
  if (GetBool(told, "missing")) {
    text += fmt::format(", entry missing, gone in {} ms", GetInt(told, "gone_in_ms"));
  }
  return text + "; " + ReasonsOf(told) + "\n";
}

}  // namespace

asio::awaitable<absl::StatusOr<CommandResult>> RunZonesCommand(asio::io_context& context,
                                                               CommandOptions options) {
  if (options.nodes.empty()) co_return Usage(fmt::format(kNodesNeeded, "zones"));
  const Answers answers = co_await AskAll(context, options);
  const FleetView view = MakeFleetView(answers.nodes);
  CommandResult result = ResultOf(answers, DrainsText(view) + RoomsText(view), ZonesJson(view));
  if (!view.IsAgreed()) result.exit_code = kExitFailed;
  co_return result;
}

asio::awaitable<absl::StatusOr<CommandResult>> RunRegionsCommand(asio::io_context& context,
                                                                 CommandOptions options) {
  if (options.nodes.empty()) co_return Usage(fmt::format(kNodesNeeded, "regions"));
  const Answers answers = co_await AskAll(context, options);
  const FleetView view = MakeFleetView(answers.nodes);
  co_return ResultOf(answers, RegionsText(view), RegionsJson(view));
}

asio::awaitable<absl::StatusOr<CommandResult>> RunQuarantineCommand(asio::io_context& context,
                                                                    CommandOptions options) {
  if (options.nodes.empty()) co_return Usage(fmt::format(kNodesNeeded, "quarantine"));
  const Answers answers = co_await AskAll(context, options);
  const FleetView view = MakeFleetView(answers.nodes);
  co_return ResultOf(answers, QuarantineText(view), QuarantineJson(view));
}

asio::awaitable<absl::StatusOr<CommandResult>> RunExplainBackendCommand(asio::io_context& context,
                                                                        CommandOptions options,
                                                                        Words words) {
  if (words.size() != 1) co_return Usage("explain-backend ID: the id of one back end");
  if (options.nodes.empty()) co_return Usage(fmt::format(kNodesNeeded, "explain-backend"));
  const std::string target = "/status?backend=" + words.front();
  CommandResult result;
  json::array array;
  for (const Endpoint& node : options.nodes) {
    absl::StatusOr<json::object> told = co_await FetchNodeStatus(context, node, target);
    if (told.ok()) {
      result.text += BackendText(*told);
      array.push_back(std::move(*told));
      continue;
    }
    result.exit_code = kExitFailed;
    const std::string why(told.status().message());
    result.text += fmt::format("{} does not tell: {}\n", node.ToString(), why);
    array.push_back(json::object{{"address", node.ToString()}, {"error", why}});
  }
  result.object = std::move(array);
  co_return result;
}

}  // namespace cartsail::ctl
