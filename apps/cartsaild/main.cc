// The daemon that runs on every entry machine.
#include <fmt/format.h>

#include <cstdio>
#include <string>
#include <vector>

#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/daemon/node.h"

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitFailed = 1;

int Complain(const absl::Status& status, int exit_code) {
  fmt::print(stderr, "cartsaild: {}: {}\n", cartsail::ErrorKindName(cartsail::KindOf(status)),
             std::string(status.message()));
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  bool exit_now = false;
  const absl::StatusOr<cartsail::NodeOptions> options =
      cartsail::ParseNodeOptions(std::vector<std::string>(argv + 1, argv + argc), &exit_now);
  if (!options.ok()) return Complain(options.status(), kExitBadSettings);
  if (exit_now) return 0;
  cartsail::SetLogLevel(options->log_level);
  const absl::Status status = cartsail::RunNode(*options);
  return status.ok() ? 0 : Complain(status, kExitFailed);
}
