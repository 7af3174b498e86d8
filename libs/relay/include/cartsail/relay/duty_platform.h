// Platform calls of the duties, the tasks that one node of the fleet performs at a time.
// Implemented by the deployment.
#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <string>

#include "cartsail/duties/capacity_planner.h"
#include "cartsail/duties/holder_lease.h"
#include "cartsail/duties/usage_window.h"

namespace cartsail {

// Identifies the caller of a platform call and its acquisition of the duty.
struct DutyCredentials {
  std::string holder;  // name of the node
  FencingToken token = 0;
};

struct UsageReport {
  WindowNumber window = 0;
  TenantCounts counts;
};

// All calls fail with kConflict if the platform refused them, because it has seen a greater token
// or, for an order, because the engines do not exist. They fail with kPlatformUnavailable if the
// call may have been carried out or may still be, even seconds later.
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
