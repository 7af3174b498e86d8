// Settings of the duties: tasks that one node of the fleet performs at a time. The deployment
// decides which duties exist.
#pragma once

#include "cartsail/duties/capacity_policy.h"
#include "cartsail/duties/holder_lease.h"
#include "cartsail/duties/usage_window.h"

namespace cartsail {

struct DutyOptions {
  bool reports_usage = false;
  bool orders_engines = false;
  LeaseTiming lease;
  UsageSchedule usage;
  CapacityPolicy capacity;
};

}  // namespace cartsail
