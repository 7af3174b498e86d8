#include "cartsail/duties/usage_collector.h"

#include <algorithm>

namespace cartsail {

bool UsageCollector::SourceCounts::IsComplete() const {
  int64_t known = 0;
  for (const auto& [tenant, count] : counts) known += count;
  return closed && known == requests;
}

void UsageCollector::Merge(const UsageSource& source, const UsageShare& share) {
  SourceCounts& reported = windows_[share.window][source];
  reported.closed = reported.closed || share.closed;
  reported.requests = std::max(reported.requests, share.requests);
  for (const auto& [tenant, count] : share.counts) {
    // Messages may be reordered, and counts only grow: the greatest is the latest.
    int64_t& known = reported.counts[tenant];
    known = std::max(known, count);
  }
}

bool UsageCollector::HasCompleteCounts(const UsageSource& source, WindowNumber window) const {
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) return false;
  const auto reported = sources->second.find(source);
  return reported != sources->second.end() && reported->second.IsComplete();
}

std::set<std::string> UsageCollector::ReportingHosts(WindowNumber window) const {
  std::set<std::string> hosts;
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) return hosts;
  for (const auto& [source, reported] : sources->second) hosts.insert(source.host);
  return hosts;
}

std::set<std::string> UsageCollector::CompleteHosts(WindowNumber window) const {
  std::set<std::string> hosts;
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) return hosts;
  for (const auto& [source, reported] : sources->second) {
    if (reported.IsComplete()) hosts.insert(source.host);
  }
  return hosts;
}

TenantCounts UsageCollector::Total(WindowNumber window) const {
  TenantCounts total;
  const auto sources = windows_.find(window);
  if (sources == windows_.end()) return total;
  for (const auto& [source, reported] : sources->second) {
    for (const auto& [tenant, count] : reported.counts) total[tenant] += count;
  }
  return total;
}

}  // namespace cartsail
