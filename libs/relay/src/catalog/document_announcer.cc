#include "catalog/document_announcer.h"

#include <algorithm>
#include <tuple>

namespace cartsail {
namespace {

struct Candidate {
  int notices_sent;
  uint64_t order;
  std::string host;

  bool operator<(const Candidate& other) const {
    return std::tie(notices_sent, order) < std::tie(other.notices_sent, other.order);
  }
};

// Moves the hosts of the first candidates to `hosts` until it holds `size` hosts.
void TakeFirstHosts(std::vector<Candidate>* candidates, size_t size,
                    std::vector<std::string>* hosts) {
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
    notices_sent_.clear();
  }
  if (rounds_ == kRounds) return {};
  ++rounds_;
  const uint64_t order_seed = seed_ + static_cast<uint64_t>(version);
  std::vector<Candidate> near;
  std::vector<Candidate> far;
  for (const LivePeer& peer : behind) {
    std::vector<Candidate>& candidates = peer.zone == zone ? near : far;
    candidates.push_back({notices_sent_[peer.host], Hash64(peer.host, order_seed), peer.host});
  }
  std::vector<std::string> hosts;
  TakeFirstHosts(&far, 1, &hosts);
  TakeFirstHosts(&near, kPeersPerRound, &hosts);
  TakeFirstHosts(&far, kPeersPerRound, &hosts);
  for (const std::string& host : hosts) ++notices_sent_[host];
  return hosts;
}

}  // namespace cartsail
