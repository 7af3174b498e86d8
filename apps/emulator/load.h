// Open-loop load over HTTP against all nodes, by a workload file, seeded and bounded in time.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "cartsail/base/json.h"
#include "cartsail/net/http_types.h"
#include "cartsail/operations/workload.h"

namespace cartsail::emulator {

struct LoadOptions {
  std::vector<Endpoint> targets;
  // Admin endpoints, one per target: like a balancer, the load then skips nodes that are not ready.
  std::vector<Endpoint> readiness;
  std::vector<Endpoint> engines;  // for computed tokens; may be empty
  std::vector<std::string> api_keys;
  Duration duration = seconds(10);
  double rate_factor = 1;
  uint64_t seed = 1;
  Duration settle = seconds(60);  // longest wait for answers after the last request
};

// The report (see Measures), with the workload's name and the seed.
absl::StatusOr<json::object> RunLoad(const Workload& workload, const LoadOptions& options);

}  // namespace cartsail::emulator
