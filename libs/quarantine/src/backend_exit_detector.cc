#include "cartsail/quarantine/backend_exit_detector.h"

#include <utility>

namespace cartsail {
namespace {

// The entry of a back end that has ended lapses within some heartbeats, 3.6 s where they come every
// 1.2 s, and readers may hear of it a second later.
constexpr Duration kMaxSuspicionTime = seconds(10);
// All requests at a back end break within 3 ms where it ends; those of a node that stood still
// break when it goes on.
constexpr Duration kExitRetention = seconds(10);
// A back end that closes many connections costs one new connection in this time.
constexpr Duration kProbeInterval = seconds(1);

}  // namespace

std::vector<Strike> BackendExitDetector::NoteBroken(const Strike& suspected) {
  if (exited_.contains(suspected.backend)) return {suspected};
  suspected_[suspected.backend].requests.push_back({suspected.request, suspected.when});
  return {};
}

std::vector<Strike> BackendExitDetector::NoteEnded(BackendKey backend, TimePoint now) {
  const auto doubt = suspected_.find(backend);
  if (doubt == suspected_.end()) return {};
  std::erase_if(doubt->second.requests,
                [](const BrokenRequest& broken) { return broken.is_listening; });
  return NoteReplaced(backend, now);
}

std::vector<Strike> BackendExitDetector::NoteReplaced(BackendKey backend, TimePoint now) {
  const auto doubt = suspected_.find(backend);
  // Nothing of this node ran there: a connection that is refused alone tells nothing.
  if (doubt == suspected_.end()) return {};
  std::vector<Strike> strikes;
  for (const BrokenRequest& broken : doubt->second.requests) {
    strikes.push_back({broken.request, backend, broken.when});
  }
  suspected_.erase(doubt);
  if (!strikes.empty()) exited_[backend] = now;
  return strikes;
}

void BackendExitDetector::NoteListening(BackendKey backend) {
  const auto doubt = suspected_.find(backend);
  if (doubt == suspected_.end()) return;
  for (BrokenRequest& broken : doubt->second.requests) broken.is_listening = true;
}

void BackendExitDetector::NoteAnswered(BackendKey backend, TimePoint sent) {
  const auto doubt = suspected_.find(backend);
  if (doubt == suspected_.end()) return;
  std::vector<BrokenRequest>& requests = doubt->second.requests;
  std::erase_if(requests, [sent](const BrokenRequest& broken) { return broken.when < sent; });
  if (requests.empty()) suspected_.erase(doubt);
}

bool BackendExitDetector::TakeProbe(BackendKey backend, TimePoint now) {
  const auto doubt = suspected_.find(backend);
  if (doubt == suspected_.end() || now < doubt->second.next_probe) return false;
  doubt->second.next_probe = now + kProbeInterval;
  return true;
}

std::vector<Strike> BackendExitDetector::Settle(const std::function<bool(BackendKey)>& has_entry,
                                                TimePoint now) {
  std::vector<Strike> strikes;
  std::vector<BackendKey> gone;
  for (const auto& [backend, doubt] : suspected_) {
    if (!has_entry(backend)) gone.push_back(backend);
  }
  for (const BackendKey backend : gone) {
    const std::vector<Strike> settled = NoteEnded(backend, now);
    strikes.insert(strikes.end(), settled.begin(), settled.end());
  }
  for (auto& [backend, doubt] : suspected_) {
    std::erase_if(doubt.requests, [now](const BrokenRequest& broken) {
      return now - broken.when > kMaxSuspicionTime;
    });
  }
  std::erase_if(suspected_, [](const auto& doubt) { return doubt.second.requests.empty(); });
  std::erase_if(exited_, [now](const auto& ended) { return now - ended.second > kExitRetention; });
  return strikes;
}

}  // namespace cartsail
