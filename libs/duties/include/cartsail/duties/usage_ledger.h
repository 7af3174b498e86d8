// Usage counts of one node for recent windows. The counts of a window only grow, and stop growing
// once it has ended.
#pragma once

#include <map>
#include <string>

#include "cartsail/duties/usage_window.h"

namespace cartsail {

class UsageLedger {
 public:
  // Counts a request of `tenant` that an engine began to run in `window`.
  void Note(const std::string& tenant, WindowNumber window) { ++windows_[window][tenant]; }

  // Drops the windows before `first`.
  void ForgetBefore(WindowNumber first) {
    windows_.erase(windows_.begin(), windows_.lower_bound(first));
  }

  // Counts of a window; empty if nothing was counted in it.
  TenantCounts Of(WindowNumber window) const {
    const auto counts = windows_.find(window);
    return counts == windows_.end() ? TenantCounts() : counts->second;
  }

 private:
  std::map<WindowNumber, TenantCounts> windows_;
};

}  // namespace cartsail
