#include "cartsail/streams/version_history.h"

namespace cartsail {

void VersionHistory::NoteListed(const std::string& service, const std::string& version,
                                TimePoint now) {
  versions_[service][version] = now;
}

std::vector<std::string> VersionHistory::VersionsOf(const std::string& service,
                                                    TimePoint now) const {
  std::vector<std::string> versions;
  const auto known = versions_.find(service);
  if (known == versions_.end()) return versions;
  for (const auto& [version, listed] : known->second) {
    if (now - listed <= kVersionRetention) versions.push_back(version);
  }
  return versions;
}

void VersionHistory::Expire(TimePoint now) {
  for (auto& [service, versions] : versions_) {
    std::erase_if(versions,
                  [now](const auto& entry) { return now - entry.second > kVersionRetention; });
  }
}

}  // namespace cartsail
