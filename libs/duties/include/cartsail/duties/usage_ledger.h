// What one node has counted in the latest windows. Counts of a window only grow, and stop growing
// once it is over. Pure.
#pragma once

#include <map>
#include <string>

#include "cartsail/duties/usage_window.h"

namespace cartsail {

class UsageLedger {
 public:
  // An engine began to run a request of `tenant`.
  void Note(const std::string& tenant, WindowNumber window) { ++windows_[window][tenant]; }

  // Forgets windows before `first`.
  void ForgetBefore(WindowNumber first) {
    windows_.erase(windows_.begin(), windows_.lower_bound(first));
  }

  // Empty for a window in which nothing was counted.
  TenantCounts Of(WindowNumber window) const {
    const auto counts = windows_.find(window);
    return counts == windows_.end() ? TenantCounts() : counts->second;
  }

 private:
  std::map<WindowNumber, TenantCounts> windows_;
};

}  // namespace cartsail
