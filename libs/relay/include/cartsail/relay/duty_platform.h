// Calls to the platform that one node of the fleet makes at a time: the duties. Given by the
// deployment.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <string>

#include "cartsail/duties/capacity_planner.h"
#include "cartsail/duties/holder_lease.h"
#include "cartsail/duties/usage_window.h"

namespace cartsail {

// Who makes a call, and by which acquisition of the duty.
struct DutyCredentials {
  std::string holder;  // name of the node
  FencingToken token = 0;
};

struct UsageReport {
  WindowNumber window = 0;
  TenantCounts counts;
};

// All calls fail with kConflict when the platform refused them, because of a greater token or, for
// an order, because there are no such engines; with kPlatformUnavailable when they may have been
// carried out, or may still be, seconds later.
class DutyPlatform {
 public:
  virtual ~DutyPlatform() = default;

  virtual boost::asio::awaitable<absl::Status> ReportUsage(DutyCredentials credentials,
                                                           UsageReport report) = 0;

  virtual boost::asio::awaitable<absl::Status> OrderEngines(DutyCredentials credentials,
                                                            std::string service,
                                                            EngineOrder order) = 0;
};

}  // namespace cartsail
