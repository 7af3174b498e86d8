// Scripted scenarios: Lua files that start a fleet, apply faults, wait on conditions and check what
// truly ran. The verbs are described in docs/SCENARIOS.md.
#pragma once

#include <absl/status/status.h>

#include <string>

namespace cartsail::emulator {

struct ScenarioOptions {
  std::string bin;  // folder of the programs
  std::string path;
  bool verbose = false;
};

// OK when the script ended and no check failed; kInternal names the failed checks.
absl::Status RunScenario(const ScenarioOptions& options);

}  // namespace cartsail::emulator
