#include "document_announcer.h"

#include <algorithm>
#include <tuple>

namespace cartsail {
namespace {

struct Candidate {
  int times_told;
  uint64_t order;
  std::string host;

  bool operator<(const Candidate& other) const {
    return std::tie(times_told, order) < std::tie(other.times_told, other.order);
  }
};

}  // namespace

std::vector<std::string> DocumentAnnouncer::NextRound(int64_t version,
                                                      const std::vector<std::string>& behind) {
  if (version != version_) {
    version_ = version;
    rounds_ = 0;
    told_.clear();
  }
  if (rounds_ == kRounds) return {};
  ++rounds_;
  const uint64_t order_seed = seed_ + static_cast<uint64_t>(version);
  std::vector<Candidate> candidates;
  candidates.reserve(behind.size());
  for (const std::string& host : behind) {
    candidates.push_back({told_[host], Hash64(host, order_seed), host});
  }
  const size_t count = std::min(kPeersTold, candidates.size());
  const auto chosen = candidates.begin() + static_cast<int64_t>(count);
  std::partial_sort(candidates.begin(), chosen, candidates.end());
  std::vector<std::string> hosts;
  for (auto candidate = candidates.begin(); candidate != chosen; ++candidate) {
    ++told_[candidate->host];
    hosts.push_back(candidate->host);
  }
  return hosts;
}

}  // namespace cartsail
