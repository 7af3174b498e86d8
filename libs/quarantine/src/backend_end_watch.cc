#include "cartsail/quarantine/backend_end_watch.h"

#include <utility>

namespace cartsail {
namespace {

// The entry of a back end that has ended lapses within some heartbeats, 3.6 s where they come every
// 1.2 s, and readers may hear of it a second later.
constexpr Duration kLongestDoubt = seconds(10);
// All requests at a back end break within 3 ms where it ends; those of a node that stood still
// break when it goes on.
constexpr Duration kEndRemembered = seconds(10);
// A back end that closes many connections costs one new connection in this time.
constexpr Duration kProbeInterval = seconds(1);

std::vector<Strike> StrikesOf(const std::vector<RequestFingerprint>& requests, BackendKey backend) {
  std::vector<Strike> strikes;
  strikes.reserve(requests.size());
  for (const RequestFingerprint request : requests) strikes.push_back({request, backend});
  return strikes;
}

}  // namespace

std::vector<Strike> BackendEndWatch::NoteBroken(const Strike& suspected, TimePoint now) {
  if (ended_.contains(suspected.backend)) return {suspected};
  const auto [doubt, is_new] = doubts_.try_emplace(suspected.backend);
  if (is_new) doubt->second.since = now;
  doubt->second.requests.push_back(suspected.request);
  return {};
}

std::vector<Strike> BackendEndWatch::NoteEnded(BackendKey backend, TimePoint now) {
  const auto doubt = doubts_.find(backend);
  // Nothing of this node ran there: a connection that is refused alone tells nothing.
  if (doubt == doubts_.end()) return {};
  std::vector<Strike> strikes = StrikesOf(doubt->second.requests, backend);
  doubts_.erase(doubt);
  ended_[backend] = now;
  return strikes;
}

void BackendEndWatch::NoteAlive(BackendKey backend) { doubts_.erase(backend); }

bool BackendEndWatch::TakeProbe(BackendKey backend, TimePoint now) {
  const auto doubt = doubts_.find(backend);
  if (doubt == doubts_.end() || now < doubt->second.next_probe) return false;
  doubt->second.next_probe = now + kProbeInterval;
  return true;
}

std::vector<Strike> BackendEndWatch::Settle(const std::function<bool(BackendKey)>& has_entry,
                                            TimePoint now) {
  std::vector<Strike> strikes;
  std::vector<BackendKey> gone;
  for (const auto& [backend, doubt] : doubts_) {
    if (!has_entry(backend)) gone.push_back(backend);
  }
  for (const BackendKey backend : gone) {
    const std::vector<Strike> settled = NoteEnded(backend, now);
    strikes.insert(strikes.end(), settled.begin(), settled.end());
  }
  std::erase_if(doubts_,
                [now](const auto& doubt) { return now - doubt.second.since > kLongestDoubt; });
  std::erase_if(ended_, [now](const auto& ended) { return now - ended.second > kEndRemembered; });
  return strikes;
}

}  // namespace cartsail
