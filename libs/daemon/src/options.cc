#include "cartsail/daemon/options.h"

#include <absl/strings/str_split.h>

#include "cartsail/base/flags.h"
#include "cartsail/base/status.h"
#include "cartsail/config/schema.h"

namespace cartsail {
namespace {

void AddEndpoint(FlagSet& flags, const std::string& name, const std::string& help,
                 Endpoint* target) {
  flags.Parsed(name, help, target->ToString(), "IP:PORT",
               [target](const std::string& text) { return ParseEndpoint(text, target); });
}

void AddDuration(FlagSet& flags, const std::string& name, const std::string& help,
                 Duration* target) {
  const auto millis = static_cast<int64_t>(ToMillis(*target));
  flags.Parsed(name, help, std::to_string(millis) + "ms", "a duration such as 250ms or 10s",
               [target](const std::string& text) {
                 double value = 0;
                 if (!ParseDurationSeconds(text, &value) || value > 24 * 3600) return false;
                 *target = FromSeconds(value);
                 return true;
               });
}

bool IsNodeName(const std::string& text) {
  if (text.empty() || text.size() > 63) return false;
  for (const char c : text) {
    if (std::isalnum(static_cast<unsigned char>(c)) == 0 && c != '-') return false;
  }
  return true;
}

void AddName(FlagSet& flags, const std::string& name, const std::string& help,
             std::string* target) {
  flags.Parsed(name, help, *target, "a name of [A-Za-z0-9-], 1 to 63 characters",
               [target](const std::string& text) {
                 *target = text;
                 return IsNodeName(text);
               });
}

bool ParsePeerList(const std::string& text, std::vector<std::string>* peers) {
  peers->clear();
  for (const auto& part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    Endpoint endpoint;
    if (!ParseEndpoint(std::string(part), &endpoint)) return false;
    peers->push_back(endpoint.ToString());
  }
  return true;
}

}  // namespace

absl::StatusOr<NodeOptions> ParseNodeOptions(const std::vector<std::string>& arguments,
                                             bool* exit_now) {
  NodeOptions options;
  FlagSet flags("cartsaild",
                "Routes language-model traffic by service level and priority. Settings of the "
                "fleet are kept in the platform; see cartsailctl.",
                "CARTSAIL_");
  AddName(flags, "node-id", "Unique name of this node", &options.node_id);
  AddName(flags, "zone", "Zone of this node", &options.zone);
  AddEndpoint(flags, "listen", "Address for callers", &options.listen);
  AddEndpoint(flags, "admin", "Address for operators", &options.admin);
  AddEndpoint(flags, "peer", "Address for other nodes", &options.peer);
  flags.Parsed("advertise", "Address at which other nodes reach --peer", "", "IP:PORT or empty",
               [&options](const std::string& text) {
                 return text.empty() || ParseEndpoint(text, &options.advertise);
               });
  AddEndpoint(flags, "platform", "Address of the platform's key-value service", &options.platform);
  flags.Parsed(
      "peers", "Peer addresses for a start while the platform is out", "", "IP:PORT,IP:PORT,...",
      [&options](const std::string& text) { return ParsePeerList(text, &options.seed_peers); });
  flags.Integer("traffic-threads", "Threads for callers' traffic", &options.traffic_threads, 1, 64);
  AddDuration(flags, "heartbeat-interval", "Time between heartbeats", &options.heartbeat_interval);
  AddDuration(flags, "suspect-after", "Silence after which a node is taken for lost",
              &options.suspect_after);
  AddDuration(flags, "machine-poll", "Time between reads of the machine list",
              &options.machine_poll);
  AddDuration(flags, "drain-delay", "Time for the balancer to notice a planned stop",
              &options.drain_delay);
  AddDuration(flags, "drain-timeout", "Longest wait for running answers at a planned stop",
              &options.drain_timeout);
  AddDuration(flags, "isolation-limit",
              "Time without platform and peers after which the node is unready",
              &options.isolation_limit);
  AddDuration(flags, "config-poll", "Time between reads of the configuration's head",
              &options.config_poll);
  flags.Integer("initial-window", "Requests at an engine at once: the size of its batch",
                &options.initial_window, 1, 100000);
  flags.Integer("max-window", "Most requests at an engine at once", &options.max_window, 1, 100000);
  flags.Integer("max-body-bytes", "Largest request body", &options.max_body_bytes, 1024, 64 << 20);
  flags.Integer("request-log", "Recent requests kept for replay (0: none)", &options.request_log, 0,
                1 << 20);
  flags.Parsed(
      "log-level", "Least level logged", "info", "debug, info, warning, error or off",
      [&options](const std::string& text) { return ParseLogLevel(text, &options.log_level); });
  const absl::Status status = flags.Parse(arguments, exit_now);
  if (!status.ok()) return status;
  if (*exit_now) return options;
  if (options.advertise.host.empty()) options.advertise = options.peer;
  if (options.max_window < options.initial_window) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "--max-window: must be at least --initial-window");
  }
  if (options.suspect_after < 2 * options.heartbeat_interval) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "--suspect-after: must be at least twice --heartbeat-interval");
  }
  return options;
}

}  // namespace cartsail
