// Sums the usage counts that all nodes report to one node. Nodes repeat their cumulative counts,
// split over several messages where there are many tenants; repeated counts are not added twice.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cartsail/duties/usage_window.h"

namespace cartsail {

// Counts of some tenants in one window at one node, as sent in one message.
struct UsageShare {
  WindowNumber window = 0;
  bool closed = false;   // the window has ended at the sender: its counts are final
  int64_t requests = 0;  // of all tenants in the window, over all messages
  TenantCounts counts;   // of some tenants; cumulative
};

// One process of a node.
struct UsageSource {
  std::string host;
  uint32_t process = 0;  // differs between successive processes of the host

  bool operator<(const UsageSource& other) const {
    return std::tie(host, process) < std::tie(other.host, other.process);
  }
};

class UsageCollector {
 public:
  // Merges a report, which may be repeated or out of order: of each count the greatest is kept.
  void Merge(const UsageSource& source, const UsageShare& share);

  // True if the source has closed the window and all its counts have been received.
  bool HasCompleteCounts(const UsageSource& source, WindowNumber window) const;

  // Hosts that have reported anything for the window.
  std::set<std::string> ReportingHosts(WindowNumber window) const;
  // Hosts with a process whose counts of the window are complete.
  std::set<std::string> CompleteHosts(WindowNumber window) const;

  // Sum over all sources; empty for a window without reports.
  TenantCounts Total(WindowNumber window) const;

  // Drops the windows before `first`.
  void ForgetBefore(WindowNumber first) {
    windows_.erase(windows_.begin(), windows_.lower_bound(first));
  }

 private:
  struct SourceCounts {
    bool closed = false;
    int64_t requests = 0;
    TenantCounts counts;

    bool IsComplete() const;
  };

  std::map<WindowNumber, std::map<UsageSource, SourceCounts>> windows_;
};

}  // namespace cartsail
