// One daemon: wires the libraries to sockets, threads and signals.
#pragma once

#include <absl/status/status.h>

#include "cartsail/daemon/options.h"

namespace cartsail {

// Runs until SIGTERM or SIGINT and a completed drain. The calling thread becomes the control
// thread. Returns OK after a planned stop, or why the start failed.
absl::Status RunNode(const NodeOptions& options);

}  // namespace cartsail
