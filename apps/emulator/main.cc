// Development tool: stand-ins for the platform, engines and services, load, the virtual fleet and
// scripted scenarios. Not for production.
#include <fmt/format.h>

#include <cstdio>

#include "cartsail/base/status.h"
#include "subcommands.h"

namespace {

constexpr int kExitUsage = 2;

struct Subcommand {
  std::string_view name;
  absl::Status (*run)(const std::vector<std::string>& arguments);
};

constexpr Subcommand kSubcommands[] = {
    {"platform", cartsail::emulator::RunPlatformCommand},
    {"engine", cartsail::emulator::RunEngineCommand},
    {"service", cartsail::emulator::RunServiceCommand},
    {"load", cartsail::emulator::RunLoadCommand},
    {"ask", cartsail::emulator::RunAskCommand},
    {"scenario", cartsail::emulator::RunScenarioCommand},
    {"fleet", cartsail::emulator::RunFleetCommand},
    {"measure-config", cartsail::emulator::RunMeasureConfigCommand},
};

int PrintUsage() {
  fmt::print(stderr, "usage: cartsail-emulator COMMAND [--help]\ncommands:");
  for (const Subcommand& subcommand : kSubcommands) fmt::print(stderr, " {}", subcommand.name);
  fmt::print(stderr, "\n");
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return PrintUsage();
  const std::string_view name = argv[1];
  for (const Subcommand& subcommand : kSubcommands) {
    if (subcommand.name != name) continue;
    const absl::Status status = subcommand.run(std::vector<std::string>(argv + 2, argv + argc));
    if (status.ok()) return 0;
    const cartsail::ErrorKind kind = cartsail::KindOf(status);
    fmt::print(stderr, "cartsail-emulator {}: {}: {}\n", name, cartsail::ErrorKindName(kind),
               std::string(status.message()));
    return kind == cartsail::ErrorKind::kInvalidArgument ? kExitUsage : 1;
  }
  return PrintUsage();
}
