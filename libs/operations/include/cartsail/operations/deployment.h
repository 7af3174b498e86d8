// Checks of a deployment file: the settings of all machines of a fleet, before they are rolled out.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "cartsail/base/json.h"

namespace cartsail {

struct DeploymentFaults {
  std::vector<std::string> errors;    // must be mended
  std::vector<std::string> warnings;  // should be looked at
};

// `deployment`: {"platform": IP:PORT, "nodes": [{"id", "zone", "listen", "admin", "peer",
// "advertise"?, "heartbeat_ms"?, "suspect_ms"?}], "back_ends": [{"id", "kind", "zone", "address",
// "name"}]}. All faults are listed at once.
DeploymentFaults CheckDeployment(const json::object& deployment);

}  // namespace cartsail
