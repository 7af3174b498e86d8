// cartsail-emulator load and ask.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>

#include "cartsail/base/status.h"
#include "flag_types.h"
#include "load.h"
#include "load_client.h"
#include "subcommands.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

}  // namespace

absl::Status RunLoadCommand(const std::vector<std::string>& arguments) {
  LoadOptions options;
  std::string workload_path;
  std::string output = "text";
  auto seed = static_cast<int64_t>(options.seed);
  FlagSet flags("cartsail-emulator load", "Open-loop load by a workload file", "EMULATOR_");
  flags.Text("workload", "Workload file", &workload_path);
  AddEndpointsFlag(flags, "targets", "Nodes' addresses for callers", &options.targets);
  AddEndpointsFlag(flags, "engines", "Engines, to count wasted work", &options.engines);
  AddTextsFlag(flags, "keys", "API keys", &options.api_keys);
  AddDurationFlag(flags, "duration", "Length of the load", &options.duration);
  AddDurationFlag(flags, "settle", "Longest wait for the last answers", &options.settle);
  flags.Real("rate-factor", "Factor on all rates", &options.rate_factor, 0.001, 1000);
  flags.Integer("seed", "Seed", &seed, 0, 1 << 30);
  flags.Parsed("output", "Form of the report", output, "text or json",
               [&output](const std::string& text) {
                 output = text;
                 return text == "text" || text == "json";
               });
  bool exit_now = false;
  const absl::Status status = flags.Parse(arguments, &exit_now);
  if (!status.ok() || exit_now) return status;
  options.seed = static_cast<uint64_t>(seed);
  const absl::StatusOr<Workload> workload = ReadWorkload(workload_path);
  if (!workload.ok()) return workload.status();
  const absl::StatusOr<json::object> report = RunLoad(*workload, options);
  if (!report.ok()) return report.status();
  fmt::print("{}", output == "json" ? json::serialize(*report) + "\n" : FormatReport(*report));
  return absl::OkStatus();
}

absl::Status RunAskCommand(const std::vector<std::string>& arguments) {
  CallerRequest call;
  call.model = "model";
  call.service = "assistant";
  call.class_name = "default";
  call.prompt = "Which way to gate 22?";
  Endpoint target{"127.0.0.1", 8080};
  FlagSet flags("cartsail-emulator ask", "One question; prints how its answer arrived",
                "EMULATOR_");
  AddEndpointFlag(flags, "target", "Node's address for callers", &target);
  flags.Text("key", "API key", &call.api_key);
  flags.Text("service", "Service", &call.service);
  flags.Text("class", "Class", &call.class_name);
  flags.Text("model", "Model", &call.model);
  flags.Text("prompt", "Question", &call.prompt);
  flags.Text("idempotency-key", "Key of a request that may not run twice", &call.idempotency_key);
  flags.Integer("tokens", "Length of the answer (0: the engine's choice)", &call.output_tokens, 0,
                1 << 20);
  bool exit_now = false;
  const absl::Status status = flags.Parse(arguments, &exit_now);
  if (!status.ok() || exit_now) return status;
  call.targets = {target};
  asio::io_context context{1};
  CallerResult result;
  asio::co_spawn(context, AskOnce(context.get_executor(), call),
                 [&result](const std::exception_ptr& failure, CallerResult value) {
                   if (!failure) result = std::move(value);
                 });
  context.run();
  if (!result.result.completed) {
    fmt::print("status {} {}\n", result.http_status, result.body);
    return MakeError(ErrorKind::kBackendFailed,
                     result.result.error_kind + "/" + result.result.outcome);
  }
  fmt::print(
      "stream {}: {} tokens, every one as expected: {}, first after {:.1f} ms, then every "
      "{:.1f} ms\n",
      result.stream, result.result.tokens, result.result.correct ? "yes" : "no",
      ToMillis(result.result.first_token), ToMillis(result.result.token_interval));
  return absl::OkStatus();
}

}  // namespace cartsail::emulator
