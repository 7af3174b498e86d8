// cartsail-emulator platform, engine, service: the stand-in processes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "cartsail/base/flags.h"
#include "cartsail/base/status.h"
#include "engine_server.h"
#include "flag_types.h"
#include "platform_server.h"
#include "service_server.h"
#include "subcommands.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

// Runs until SIGTERM or SIGINT; `on_signal` may delay the end by calling its argument later.
absl::Status RunUntilSignal(asio::io_context& context,
                            const std::function<void(std::function<void()>)>& on_signal = nullptr) {
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int /*signal*/) {
    if (error) return;
    if (on_signal) {
      on_signal([&context] { context.stop(); });
    } else {
      context.stop();
    }
  });
  context.run();
  return absl::OkStatus();
}

}  // namespace

absl::Status RunPlatformCommand(const std::vector<std::string>& arguments) {
  PlatformOptions options;
  options.listen = {"127.0.0.1", 2379};
  FlagSet flags("cartsail-emulator platform", "Stand-in for the platform", "EMULATOR_");
  AddEndpointFlag(flags, "listen", "Address", &options.listen);
  AddDurationFlag(flags, "machine-lag", "Lag of the machine list", &options.machine_list_lag);
  AddDurationFlag(flags, "latency", "Time a call takes", &options.latency);
  flags.Real("writes-per-second", "Writes allowed", &options.writes_per_second, 1, 1e9);
  flags.Real("reads-per-second", "Reads allowed", &options.reads_per_second, 1, 1e9);
  bool exit_now = false;
  absl::Status status = flags.Parse(arguments, &exit_now);
  if (!status.ok() || exit_now) return status;
  asio::io_context context{1};
  const auto server = MakePlatformServer(context, options);
  status = server->Start();
  return status.ok() ? RunUntilSignal(context) : status;
}

absl::Status RunEngineCommand(const std::vector<std::string>& arguments) {
  EngineServerOptions options;
  options.id = "engine";
  options.listen = {"127.0.0.1", 9000};
  int64_t batch_limit = options.model.batch_limit;
  FlagSet flags("cartsail-emulator engine", "Stand-in for a model engine", "EMULATOR_");
  flags.Text("id", "Name of the engine", &options.id);
  AddEndpointFlag(flags, "listen", "Address", &options.listen);
  flags.Integer("batch-limit", "Sequences at once", &batch_limit, 1, 4096);
  AddDurationFlag(flags, "base-step", "Step time of an empty batch", &options.model.base_step);
  AddDurationFlag(flags, "sequence-step", "Step time added per sequence",
                  &options.model.per_sequence_step);
  flags.Real("prefill-rate", "Prompt tokens computed per second",
             &options.model.prefill_tokens_per_second, 1, 1e9);
  flags.Real("mean-output-tokens", "Mean hidden length", &options.mean_output_tokens, 1, 1e6);
  AddDurationFlag(flags, "resume-grace", "Time a stream runs on without a connection",
                  &options.resume_grace);
  bool exit_now = false;
  absl::Status status = flags.Parse(arguments, &exit_now);
  if (!status.ok() || exit_now) return status;
  options.model.batch_limit = static_cast<int>(batch_limit);
  asio::io_context context{1};
  const auto server = MakeEngineServer(context, options);
  status = server->Start();
  if (!status.ok()) return status;
  return RunUntilSignal(context,
                        [&server](std::function<void()> done) { server->Drain(std::move(done)); });
}

absl::Status RunServiceCommand(const std::vector<std::string>& arguments) {
  ServiceServerOptions options;
  options.id = "service";
  options.listen = {"127.0.0.1", 9500};
  FlagSet flags("cartsail-emulator service", "Stand-in for a plain service", "EMULATOR_");
  flags.Text("id", "Name of the back end", &options.id);
  AddEndpointFlag(flags, "listen", "Address", &options.listen);
  AddDurationFlag(flags, "latency", "Time a call takes", &options.latency);
  bool exit_now = false;
  absl::Status status = flags.Parse(arguments, &exit_now);
  if (!status.ok() || exit_now) return status;
  asio::io_context context{1};
  const auto server = MakeServiceServer(context, options);
  status = server->Start();
  return status.ok() ? RunUntilSignal(context) : status;
}

}  // namespace cartsail::emulator
