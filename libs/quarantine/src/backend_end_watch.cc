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

}  // namespace

std::vector<Strike> BackendEndWatch::NoteBroken(const Strike& suspected) {
  if (ended_.contains(suspected.backend)) return {suspected};
  doubts_[suspected.backend].requests.push_back({suspected.request, suspected.when});
  return {};
}

std::vector<Strike> BackendEndWatch::NoteEnded(BackendKey backend, TimePoint now) {
  const auto doubt = doubts_.find(backend);
  if (doubt == doubts_.end()) return {};
  std::erase_if(doubt->second.requests,
                [](const BrokenRequest& broken) { return broken.is_listening; });
  return NoteReplaced(backend, now);
}

std::vector<Strike> BackendEndWatch::NoteReplaced(BackendKey backend, TimePoint now) {
  const auto doubt = doubts_.find(backend);
  // Nothing of this node ran there: a connection that is refused alone tells nothing.
  if (doubt == doubts_.end()) return {};
  std::vector<Strike> strikes;
  for (const BrokenRequest& broken : doubt->second.requests) {
    strikes.push_back({broken.request, backend, broken.when});
  }
  doubts_.erase(doubt);
  if (!strikes.empty()) ended_[backend] = now;
  return strikes;
}

void BackendEndWatch::NoteListening(BackendKey backend) {
  const auto doubt = doubts_.find(backend);
  if (doubt == doubts_.end()) return;
  for (BrokenRequest& broken : doubt->second.requests) broken.is_listening = true;
}

void BackendEndWatch::NoteAnswered(BackendKey backend, TimePoint sent) {
  const auto doubt = doubts_.find(backend);
  if (doubt == doubts_.end()) return;
  std::vector<BrokenRequest>& requests = doubt->second.requests;
  std::erase_if(requests, [sent](const BrokenRequest& broken) { return broken.when < sent; });
  if (requests.empty()) doubts_.erase(doubt);
}

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
  for (auto& [backend, doubt] : doubts_) {
    std::erase_if(doubt.requests,
                  [now](const BrokenRequest& broken) { return now - broken.when > kLongestDoubt; });
  }
  std::erase_if(doubts_, [](const auto& doubt) { return doubt.second.requests.empty(); });
  std::erase_if(ended_, [now](const auto& ended) { return now - ended.second > kEndRemembered; });
  return strikes;
}

}  // namespace cartsail
