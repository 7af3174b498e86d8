// The platform stand-in as a process: the etcd v3 JSON gateway subset, the lagging machine list,
// and an admin interface on which a scenario sets faults.
//
//   POST /v3/kv/range, /v3/kv/txn, /v3/lease/grant, /v3/lease/keepalive, /v3/lease/revoke,
//   /v3/watch GET  /machines?since=VERSION POST /admin/faults    {"latency_ms", "outage":
//   "none"|"refuse"|"hang", "lose_replies": N,
//                          "stale_reads": bool, "stale_watches": bool, "writes_per_second",
//                          "reads_per_second"}
//   POST /admin/machines  one machine, or {"id", "remove": true}
//   GET  /admin/stats     calls by kind
#pragma once

#include <absl/status/status.h>

#include <boost/asio/io_context.hpp>
#include <memory>

#include "cartsail/base/clock.h"
#include "cartsail/net/http_types.h"

namespace cartsail::emulator {

struct PlatformOptions {
  Endpoint listen;
  Duration machine_list_lag = milliseconds(1000);
  double writes_per_second = 300;
  double reads_per_second = 2000;
  Duration latency = milliseconds(2);
};

class PlatformServer {
 public:
  virtual ~PlatformServer() = default;
  virtual absl::Status Start() = 0;
};

std::unique_ptr<PlatformServer> MakePlatformServer(boost::asio::io_context& context,
                                                   PlatformOptions options);

}  // namespace cartsail::emulator
