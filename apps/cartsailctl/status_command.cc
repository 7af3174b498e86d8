// cartsailctl status, and waiting until a revision is in force.
#include <fmt/format.h>

#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/timer.h"
#include "cartsail/net/http_client.h"
#include "command.h"

namespace cartsail::ctl {
namespace {

namespace asio = boost::asio;

constexpr Duration kNodeTimeout = seconds(2);
constexpr Duration kPollInterval = milliseconds(10);

// What only nodes tell that own engines; nothing for the others.
std::string OwnerText(const json::object& status) {
  const json::array* owned = GetArray(status, "owned_engines");
  const json::array* members = GetArray(status, "members");
  if (owned == nullptr || members == nullptr) return {};
  return fmt::format(" owns {} engines, {} members, platform {}", owned->size(),
                     members->size() + 1,
                     GetBool(status, "platform_reachable") ? "reachable" : "out of reach");
}

}  // namespace

asio::awaitable<absl::StatusOr<json::object>> FetchNodeStatus(asio::io_context& context,
                                                              Endpoint node, std::string target) {
  HttpRequest request;
  request.target = std::move(target);
  const absl::StatusOr<HttpResponse> response =
      co_await Fetch(context.get_executor(), node, std::move(request), kNodeTimeout);
  if (!response.ok()) co_return response.status();
  if (response->status == 404) co_return MakeError(ErrorKind::kInvalidArgument, "it knows none");
  if (response->status == 503) {
    co_return MakeError(ErrorKind::kPlatformUnavailable, "it has no configuration yet");
  }
  co_return ParseJsonObject(response->body);
}

asio::awaitable<absl::StatusOr<CommandResult>> RunStatusCommand(asio::io_context& context,
                                                                CommandOptions options) {
  if (options.nodes.empty()) co_return Usage("status needs --nodes ADMIN,ADMIN,...");
  CommandResult result;
  json::array array;
  for (const Endpoint& node : options.nodes) {
    absl::StatusOr<json::object> status = co_await FetchNodeStatus(context, node, "/status");
    if (!status.ok()) {
      result.exit_code = kExitFailed;
      result.text += fmt::format("{} does not answer\n", node.ToString());
      array.push_back(json::object{{"address", node.ToString()}, {"error", "unreachable"}});
      continue;
    }
    result.text +=
        fmt::format("{:<12} zone {:<8} {:<9} revision {:<6}{}\n", GetString(*status, "node"),
                    GetString(*status, "zone"), GetBool(*status, "ready") ? "ready" : "not ready",
                    GetInt(*status, "revision"), OwnerText(*status));
    array.push_back(std::move(*status));
  }
  result.object = std::move(array);
  co_return result;
}

asio::awaitable<absl::StatusOr<Duration>> AwaitRevision(asio::io_context& context,
                                                        const CommandOptions& options,
                                                        int64_t revision) {
  const TimePoint start = Now();
  while (true) {
    std::string lagging;
    for (const Endpoint& node : options.nodes) {
      const absl::StatusOr<json::object> status =
          co_await FetchNodeStatus(context, node, "/status");
      if (status.ok() && GetInt(*status, "revision") >= revision) continue;
      lagging += " " + node.ToString();
    }
    if (lagging.empty()) co_return Now() - start;
    if (Now() - start > options.wait_timeout) {
      co_return MakeError(
          ErrorKind::kTimeout,
          fmt::format("revision {} is written but not in force on{}", revision, lagging));
    }
    Timer timer(context);
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace cartsail::ctl
