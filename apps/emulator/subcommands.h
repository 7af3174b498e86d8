// The subcommands of cartsail-emulator: each parses its flags and runs to its end.
#pragma once

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace cartsail::emulator {

absl::Status RunPlatformCommand(const std::vector<std::string>& arguments);
absl::Status RunEngineCommand(const std::vector<std::string>& arguments);
absl::Status RunServiceCommand(const std::vector<std::string>& arguments);
absl::Status RunLoadCommand(const std::vector<std::string>& arguments);
// One question, streamed to standard output.
absl::Status RunAskCommand(const std::vector<std::string>& arguments);
absl::Status RunScenarioCommand(const std::vector<std::string>& arguments);
absl::Status RunFleetCommand(const std::vector<std::string>& arguments);
absl::Status RunMeasureConfigCommand(const std::vector<std::string>& arguments);

}  // namespace cartsail::emulator
