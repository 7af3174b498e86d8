// What every command of cartsailctl gets and returns.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/json.h"
#include "cartsail/base/status.h"
#include "cartsail/net/http_types.h"
#include "cartsail/operations/trace.h"

namespace cartsail::ctl {

// Exit codes, documented in docs/OPERATIONS.md.
enum ExitCode {
  kExitOk = 0,
  kExitFailed = 1,    // the platform or a node does not answer, or a check found faults
  kExitUsage = 2,     // the command line is wrong
  kExitInvalid = 3,   // an edit failed validation; nothing was written
  kExitConflict = 4,  // another operator was first
  kExitTimeout = 5,   // --wait: not in force everywhere in time
};

struct CommandOptions {
  Endpoint platform{"127.0.0.1", 2379};
  std::vector<Endpoint> nodes;  // admin addresses
  bool json = false;
  std::string who;
  bool wait = false;
  Duration wait_timeout = seconds(10);
  int64_t if_revision = -1;  // -1: not given
  int64_t engines = 1;       // replay: engines per model
  int64_t window = 16;       // replay: requests at an engine at once
};

struct CommandResult {
  std::string text;    // for people
  json::value object;  // for --output json
  int exit_code = kExitOk;
};

using Words = std::vector<std::string>;

// A usage error, with what the command takes.
inline absl::Status Usage(std::string_view text) {
  return MakeError(ErrorKind::kInvalidArgument, text);
}

// `words` are those after "config" or "key".
boost::asio::awaitable<absl::StatusOr<CommandResult>> RunConfigCommand(
    boost::asio::io_context& context, CommandOptions options, Words words);
boost::asio::awaitable<absl::StatusOr<CommandResult>> RunKeyCommand(
    boost::asio::io_context& context, CommandOptions options, Words words);
boost::asio::awaitable<absl::StatusOr<CommandResult>> RunStatusCommand(
    boost::asio::io_context& context, CommandOptions options);
boost::asio::awaitable<absl::StatusOr<CommandResult>> RunZonesCommand(
    boost::asio::io_context& context, CommandOptions options);
boost::asio::awaitable<absl::StatusOr<CommandResult>> RunRegionsCommand(
    boost::asio::io_context& context, CommandOptions options);
boost::asio::awaitable<absl::StatusOr<CommandResult>> RunQuarantineCommand(
    boost::asio::io_context& context, CommandOptions options);
boost::asio::awaitable<absl::StatusOr<CommandResult>> RunExplainBackendCommand(
    boost::asio::io_context& context, CommandOptions options, Words words);

// What the node tells at `target`. kInvalidArgument: it does not know what was asked for;
// kPlatformUnavailable: it has nothing to tell yet.
boost::asio::awaitable<absl::StatusOr<json::object>> FetchNodeStatus(
    boost::asio::io_context& context, Endpoint node, std::string target);

absl::StatusOr<CommandResult> RunCheckCommand(const Words& words);
absl::StatusOr<CommandResult> RunTraceCommand(const Words& words);
absl::StatusOr<CommandResult> RunLossesCommand(const Words& words);
absl::StatusOr<CommandResult> RunDutiesCommand(const Words& words);

// The lines of all `files`, each file's in its own order.
absl::StatusOr<std::vector<LogLine>> ReadLogs(const Words& files);

absl::StatusOr<CommandResult> RunPlanCommand(const Words& words);
boost::asio::awaitable<absl::StatusOr<CommandResult>> RunReplayCommand(
    boost::asio::io_context& context, CommandOptions options, Words words);

// A file's content; a usage error when it cannot be read.
absl::StatusOr<std::string> ReadWholeFile(const std::string& path);

// Polls the nodes until all have at least `revision` in force. Returns the time it took, or
// kTimeout naming the nodes that lag.
boost::asio::awaitable<absl::StatusOr<Duration>> AwaitRevision(boost::asio::io_context& context,
                                                               const CommandOptions& options,
                                                               int64_t revision);

}  // namespace cartsail::ctl
