// The plain-service stand-in as a process: repeatable and not-repeatable calls.
//
//   any method, any path   answers {"service", "path", "body_hash"} after `latency`; counts calls
//   by
//                          the X-Request-Id header
//   POST /admin/faults     {"latency_ms", "leaving": bool, "drop_before_reply": N}
//   GET  /admin/stats, /admin/starts?id=ID
#pragma once

#include <absl/status/status.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "cartsail/base/clock.h"
#include "cartsail/net/http_types.h"

namespace cartsail::emulator {

struct ServiceServerOptions {
  std::string id;
  Endpoint listen;
  Duration latency = milliseconds(5);
};

class ServiceServer {
 public:
  virtual ~ServiceServer() = default;
  virtual absl::Status Start() = 0;
};

std::unique_ptr<ServiceServer> MakeServiceServer(boost::asio::io_context& context,
                                                 ServiceServerOptions options);

}  // namespace cartsail::emulator
