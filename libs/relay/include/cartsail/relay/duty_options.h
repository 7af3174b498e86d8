// Settings of the duties, as a plain struct. Which there are is the deployment's matter.
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
