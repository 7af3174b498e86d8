#include "catalog/store_update.h"

#include <algorithm>
#include <map>

namespace cartsail {

std::vector<UpdateBranch> Branches(const std::vector<std::string>& targets) {
  const size_t count = std::min(kUpdateFanOut, targets.size());
  std::vector<UpdateBranch> branches(count);
  for (size_t i = 0; i < targets.size(); ++i) {
    UpdateBranch& branch = branches[i % count];
    if (branch.host.empty()) {
      branch.host = targets[i];
    } else {
      branch.targets.push_back(targets[i]);
    }
  }
  return branches;
}

std::vector<UpdateBranch> BranchesByZone(const std::vector<LivePeer>& live, const std::string& zone,
                                         std::mt19937_64& random) {
  std::map<std::string, std::vector<std::string>> by_zone;
  for (const LivePeer& peer : live) by_zone[peer.zone].push_back(peer.host);
  std::vector<UpdateBranch> branches;
  for (auto& [other, hosts] : by_zone) {
    std::shuffle(hosts.begin(), hosts.end(), random);
    if (other == zone) {
      for (UpdateBranch& branch : Branches(hosts)) branches.push_back(std::move(branch));
      continue;
    }
    UpdateBranch branch;
    branch.host = std::move(hosts.back());
    hosts.pop_back();
    branch.targets = std::move(hosts);
    branches.push_back(std::move(branch));
  }
  return branches;
}

}  // namespace cartsail
