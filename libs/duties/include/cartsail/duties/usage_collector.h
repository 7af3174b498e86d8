// The sum of what all nodes have counted, as one node has been told it. Nodes tell their counts so
// far again and again, in several messages where they are many; none of that counts twice. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cartsail/duties/usage_window.h"

namespace cartsail {

// Some tenants' counts of one window at one node, in one message.
struct UsageShare {
  WindowNumber window = 0;
  bool closed = false;   // the window is over there: the counts are final
  int64_t requests = 0;  // of all tenants of the window, in whatever messages
  TenantCounts counts;   // of some tenants, so far
};

// One process of a node.
struct UsageSource {
  std::string host;
  uint32_t process = 0;  // differs from one process of the host to the next

  bool operator<(const UsageSource& other) const {
    return std::tie(host, process) < std::tie(other.host, other.process);
  }
};

class UsageCollector {
 public:
  void Merge(const UsageSource& source, const UsageShare& share);

  // True when all that the source counted in the window is known.
  bool HasCompleteCounts(const UsageSource& source, WindowNumber window) const;

  // Hosts that have told anything of the window, and those all of whose counts are known.
  std::set<std::string> ReportingHosts(WindowNumber window) const;
  std::set<std::string> CompleteHosts(WindowNumber window) const;

  TenantCounts Total(WindowNumber window) const;

  void ForgetBefore(WindowNumber first) {
    windows_.erase(windows_.begin(), windows_.lower_bound(first));
  }

 private:
  struct Told {
    bool closed = false;
    int64_t requests = 0;
    TenantCounts counts;

    bool IsWhole() const;
  };

  std::map<WindowNumber, std::map<UsageSource, Told>> windows_;
};

}  // namespace cartsail
