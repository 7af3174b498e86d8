#include "catalog/document_announcer.h"

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

// Moves the first ones to `hosts`, until it has `size`.
void TakeFirst(std::vector<Candidate>* candidates, size_t size, std::vector<std::string>* hosts) {
  std::sort(candidates->begin(), candidates->end());
  size_t taken = 0;
  while (taken < candidates->size() && hosts->size() < size) {
    hosts->push_back((*candidates)[taken++].host);
  }
  candidates->erase(candidates->begin(), candidates->begin() + static_cast<int64_t>(taken));
}

}  // namespace

std::vector<std::string> DocumentAnnouncer::NextRound(int64_t version,
                                                      const std::vector<LivePeer>& behind,
                                                      const std::string& zone) {
  if (version != version_) {
    version_ = version;
    rounds_ = 0;
    told_.clear();
  }
  if (rounds_ == kRounds) return {};
  ++rounds_;
  const uint64_t order_seed = seed_ + static_cast<uint64_t>(version);
  std::vector<Candidate> near;
  std::vector<Candidate> far;
  for (const LivePeer& peer : behind) {
    std::vector<Candidate>& candidates = peer.zone == zone ? near : far;
    candidates.push_back({told_[peer.host], Hash64(peer.host, order_seed), peer.host});
  }
  std::vector<std::string> hosts;
  TakeFirst(&far, 1, &hosts);
  TakeFirst(&near, kPeersTold, &hosts);
  TakeFirst(&far, kPeersTold, &hosts);
  for (const std::string& host : hosts) ++told_[host];
  return hosts;
}

}  // namespace cartsail
