#include "cartsail/duties/usage_collector.h"

#include <algorithm>

namespace cartsail {

bool UsageCollector::Told::IsWhole() const {
  int64_t known = 0;
  for (const auto& [tenant, count] : counts) known += count;
  return closed && known == requests;
}

void UsageCollector::Merge(const UsageSource& source, const UsageShare& share) {
  Told& told = windows_[share.window][source];
  told.closed = told.closed || share.closed;
  told.requests = std::max(told.requests, share.requests);
  for (const auto& [tenant, count] : share.counts) {
    // Messages may pass each other: counts only grow.
    int64_t& known = told.counts[tenant];
    known = std::max(known, count);
  }
}

bool UsageCollector::HasCompleteCounts(const UsageSource& source, WindowNumber window) const {
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) return false;
  const auto told = sources->second.find(source);
  return told != sources->second.end() && told->second.IsWhole();
}

std::set<std::string> UsageCollector::ReportingHosts(WindowNumber window) const {
  std::set<std::string> hosts;
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) return hosts;
  for (const auto& [source, told] : sources->second) hosts.insert(source.host);
  return hosts;
}

std::set<std::string> UsageCollector::CompleteHosts(WindowNumber window) const {
  std::set<std::string> hosts;
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) return hosts;
  for (const auto& [source, told] : sources->second) {
    if (told.IsWhole()) hosts.insert(source.host);
  }
  return hosts;
}

TenantCounts UsageCollector::Total(WindowNumber window) const {
  TenantCounts total;
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) return total;
  for (const auto& [source, told] : sources->second) {
    for (const auto& [tenant, count] : told.counts) total[tenant] += count;
  }
  return total;
}

}  // namespace cartsail
