// The settings of one daemon process: flags, with environment variables behind them.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/log.h"
#include "cartsail/net/http_types.h"

namespace cartsail {

struct NodeOptions {
  std::string node_id;
  std::string zone;
  Endpoint listen{"127.0.0.1", 8080};  // callers
  Endpoint admin{"127.0.0.1", 8081};   // operators; loopback by default
  Endpoint peer{"127.0.0.1", 8082};    // other nodes
  Endpoint advertise;                  // where others reach the peer port; default: `peer`
  Endpoint platform{"127.0.0.1", 2379};
  std::vector<std::string> seed_peers;  // peer addresses for a start while the platform is out
  int64_t traffic_threads = 2;
  Duration heartbeat_interval = milliseconds(250);
  Duration suspect_after = milliseconds(1500);
  Duration machine_poll = seconds(1);
  Duration drain_delay = seconds(3);      // time for the balancer to notice
  Duration drain_timeout = seconds(600);  // longest wait for running answers
  Duration isolation_limit = seconds(15);
  Duration config_poll = seconds(30);
  int64_t initial_window = 16;
  int64_t max_window = 16;
  int64_t max_body_bytes = 1 << 20;
  int64_t request_log = 4096;  // recent requests kept for replay
  LogLevel log_level = LogLevel::kInfo;
};

// kInvalidArgument names the flag and what is allowed. `*exit_now` after --help or --version.
absl::StatusOr<NodeOptions> ParseNodeOptions(const std::vector<std::string>& arguments,
                                             bool* exit_now);

}  // namespace cartsail
