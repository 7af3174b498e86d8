// cartsail-emulator scenario FILE.
#include <fmt/format.h>

#include <filesystem>

#include "cartsail/base/flags.h"
#include "cartsail/base/status.h"
#include "scenario.h"
#include "subcommands.h"

namespace cartsail::emulator {

absl::Status RunScenarioCommand(const std::vector<std::string>& arguments) {
  ScenarioOptions options;
  options.bin = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  int64_t repeat = 1;
  std::vector<std::string> files;
  FlagSet flags("cartsail-emulator scenario", "Runs scripted scenarios", "EMULATOR_");
  flags.Text("bin", "Folder of the programs", &options.bin);
  flags.Integer("repeat", "Times to run each file; stops at the first failure", &repeat, 1, 10000);
  flags.PositionalArguments("file", "Scenario files", &files);
  bool exit_now = false;
  const absl::Status status = flags.Parse(arguments, &exit_now);
  if (!status.ok() || exit_now) return status;
  if (files.empty()) return MakeError(ErrorKind::kInvalidArgument, "name a scenario file");
  for (const std::string& file : files) {
    options.path = file;
    for (int64_t i = 0; i < repeat; ++i) {
      const absl::Status result = RunScenario(options);
      if (!result.ok()) return result;
    }
  }
  return absl::OkStatus();
}

}  // namespace cartsail::emulator
