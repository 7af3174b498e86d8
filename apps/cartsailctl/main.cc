// The operators' command-line tool.
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <cstdlib>
#include <optional>

#include "cartsail/base/flags.h"
#include "cartsail/config/schema.h"
#include "command.h"

namespace cartsail::ctl {
namespace {

namespace asio = boost::asio;

constexpr char kDescription[] =
    "Reads and changes the settings of a cartsail fleet, and shows the state of its nodes. "
    "Commands: "
    "config get PATH [SETTING] | config set PATH NAME=VALUE... | config unset PATH NAME... | "
    "config add PATH | config remove PATH | config import FILE | config validate FILE | "
    "config explain PATH | config history [COUNT] | config diff FROM TO | "
    "key add TENANT ID [KEY] | key remove TENANT ID | status | zones | regions | "
    "quarantine | explain-backend ID | check FILE | plan FILE | "
    "replay [FILE] | trace REQUEST-ID LOG... | losses LOG... | duties LOG... "
    "PATH is root, TENANT, TENANT/SERVICE or TENANT/SERVICE/CLASS. "
    "Example: cartsailctl --nodes 127.0.0.1:8081 --wait config set airport/assistant/gate-change "
    "tier=0 ttft_target=500ms";

absl::Status ParseOptions(int argc, char** argv, CommandOptions* options, Words* words,
                          bool* exit_now) {
  FlagSet flags("cartsailctl", kDescription, "CARTSAIL_");
  const char* user = std::getenv("USER");
  options->who = user == nullptr ? "unknown" : user;
  flags.Parsed("platform", "Address of the platform's key-value service",
               options->platform.ToString(), "IP:PORT", [options](const std::string& text) {
                 return ParseEndpoint(text, &options->platform);
               });
  flags.Parsed("nodes", "Admin addresses of the nodes", "", "IP:PORT,IP:PORT,...",
               [options](const std::string& text) {
                 options->nodes.clear();
                 for (const auto& part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
                   Endpoint endpoint;
                   if (!ParseEndpoint(std::string(part), &endpoint)) return false;
                   options->nodes.push_back(endpoint);
                 }
                 return true;
               });
  flags.Parsed("output", "Form of the output", "text", "text or json",
               [options](const std::string& text) {
                 options->json = text == "json";
                 return text == "text" || text == "json";
               });
  flags.Text("who", "Name for the audit trail", &options->who);
  flags.Integer("if-revision", "Refuse the change unless this revision is in force (-1: any)",
                &options->if_revision, -1, INT64_MAX);
  flags.Parsed("wait", "Wait until the change is in force on all --nodes", "false", "true or false",
               [options](const std::string& text) {
                 options->wait = text == "true";
                 return text == "true" || text == "false";
               });
  flags.Parsed("wait-timeout", "Longest wait", "10s", "a duration such as 10s",
               [options](const std::string& text) {
                 double value = 0;
                 if (!ParseDurationSeconds(text, &value)) return false;
                 options->wait_timeout = FromSeconds(value);
                 return true;
               });
  flags.Integer("engines", "replay: engines per model", &options->engines, 1, 100000);
  flags.Integer("window", "replay: requests at an engine at once", &options->window, 1, 100000);
  flags.PositionalArguments("command", "Command and its arguments", words);
  return flags.Parse(std::vector<std::string>(argv + 1, argv + argc), exit_now);
}

int ExitCodeFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return kExitUsage;
    case ErrorKind::kInvalidSetting:
      return kExitInvalid;
    case ErrorKind::kConflict:
      return kExitConflict;
    case ErrorKind::kTimeout:
      return kExitTimeout;
    default:
      return kExitFailed;
  }
}

asio::awaitable<absl::StatusOr<CommandResult>> Dispatch(asio::io_context& context,
                                                        CommandOptions options, Words words) {
  if (words.empty()) co_return Usage("no command; see --help");
  const std::string command = words.front();
  words.erase(words.begin());
  if (command == "config") {
    co_return co_await RunConfigCommand(context, std::move(options), std::move(words));
  }
  if (command == "key") {
    co_return co_await RunKeyCommand(context, std::move(options), std::move(words));
  }
  if (command == "check") co_return RunCheckCommand(words);
  if (command == "plan") co_return RunPlanCommand(words);
  if (command == "trace") co_return RunTraceCommand(words);
  if (command == "losses") co_return RunLossesCommand(words);
  if (command == "duties") co_return RunDutiesCommand(words);
  if (command == "replay") {
    co_return co_await RunReplayCommand(context, std::move(options), std::move(words));
  }
  if (command == "zones") co_return co_await RunZonesCommand(context, std::move(options));
  if (command == "quarantine") {
    co_return co_await RunQuarantineCommand(context, std::move(options));
  }
  if (command == "regions") co_return co_await RunRegionsCommand(context, std::move(options));
  if (command == "explain-backend") {
    co_return co_await RunExplainBackendCommand(context, std::move(options), std::move(words));
  }
  if (command == "status") co_return co_await RunStatusCommand(context, std::move(options));
  co_return Usage(fmt::format("unknown command {}; see --help", command));
}

int Report(const CommandOptions& options, const absl::StatusOr<CommandResult>& result) {
  if (result.ok()) {
    const std::string text = options.json ? json::serialize(result->object) + "\n" : result->text;
    fmt::print("{}", text);
    return result->exit_code;
  }
  const ErrorKind kind = KindOf(result.status());
  const std::string message(result.status().message());
  if (options.json) {
    json::object error{{"kind", ErrorKindName(kind)}, {"message", message}};
    fmt::print("{}\n", json::serialize(json::object{{"error", std::move(error)}}));
  } else {
    fmt::print(stderr, "cartsailctl: {}: {}\n", ErrorKindName(kind), message);
  }
  return ExitCodeFor(kind);
}

int Main(int argc, char** argv) {
  CommandOptions options;
  Words words;
  bool exit_now = false;
  const absl::Status parsed = ParseOptions(argc, argv, &options, &words, &exit_now);
  if (!parsed.ok()) return Report(options, parsed);
  if (exit_now) return kExitOk;
  asio::io_context context{1};
  absl::StatusOr<CommandResult> result = MakeError(ErrorKind::kInternal, "no result");
  asio::co_spawn(context, Dispatch(context, options, words),
                 [&](const std::exception_ptr& failure, absl::StatusOr<CommandResult> value) {
                   if (!failure) result = std::move(value);
                 });
  context.run();
  return Report(options, result);
}

}  // namespace
}  // namespace cartsail::ctl

int main(int argc, char** argv) { return cartsail::ctl::Main(argc, argv); }
