#include "cartsail/quarantine/backend_exit_detector.h"

#include <utility>

namespace cartsail {
namespace {

// The entry of an exited backend expires after some missed heartbeats (3.6 s with one every 1.2 s),
// and readers may learn of it a second later.
constexpr Duration kMaxSuspicionTime = seconds(10);
// All connections to a backend break within 3 ms of its exit; on a node that was paused they break
// when it resumes.
constexpr Duration kExitRetention = seconds(10);
// A backend that closes many connections costs one probe connection per interval.
constexpr Duration kProbeInterval = seconds(1);

}  // namespace

std::vector<Strike> BackendExitDetector::NoteBroken(const Strike& suspected) {
  if (exited_.contains(suspected.backend)) return {suspected};
  suspected_[suspected.backend].requests.push_back(
      {suspected.request, suspected.when, suspected.in_flight});
  return {};
}

std::vector<Strike> BackendExitDetector::NoteEnded(BackendKey backend, TimePoint now) {
  const auto suspected = suspected_.find(backend);
  if (suspected == suspected_.end()) return {};
  std::erase_if(suspected->second.requests,
                [](const BrokenRequest& broken) { return broken.is_listening; });
  return NoteReplaced(backend, now);
}

std::vector<Strike> BackendExitDetector::NoteReplaced(BackendKey backend, TimePoint now) {
  const auto suspected = suspected_.find(backend);
  // No request of this node broke there: a refused connection alone proves nothing.
  if (suspected == suspected_.end()) return {};
  std::vector<Strike> strikes;
  for (const BrokenRequest& broken : suspected->second.requests) {
    strikes.push_back({broken.request, backend, broken.when, broken.in_flight});
  }
  suspected_.erase(suspected);
  if (!strikes.empty()) exited_[backend] = now;
  return strikes;
}

void BackendExitDetector::NoteListening(BackendKey backend) {
  const auto suspected = suspected_.find(backend);
  if (suspected == suspected_.end()) return;
  for (BrokenRequest& broken : suspected->second.requests) broken.is_listening = true;
}

void BackendExitDetector::NoteAnswered(BackendKey backend, TimePoint sent) {
  const auto suspected = suspected_.find(backend);
  if (suspected == suspected_.end()) return;
  std::vector<BrokenRequest>& requests = suspected->second.requests;
  std::erase_if(requests, [sent](const BrokenRequest& broken) { return broken.when < sent; });
  if (requests.empty()) suspected_.erase(suspected);
}

bool BackendExitDetector::TakeProbe(BackendKey backend, TimePoint now) {
  const auto suspected = suspected_.find(backend);
  if (suspected == suspected_.end() || now < suspected->second.next_probe) return false;
  suspected->second.next_probe = now + kProbeInterval;
  return true;
}

std::vector<Strike> BackendExitDetector::Settle(const std::function<bool(BackendKey)>& has_entry,
                                                TimePoint now) {
  std::vector<Strike> strikes;
  std::vector<BackendKey> gone;
  for (const auto& [backend, suspected] : suspected_) {
    if (!has_entry(backend)) gone.push_back(backend);
  }
  for (const BackendKey backend : gone) {
    const std::vector<Strike> settled = NoteEnded(backend, now);
    strikes.insert(strikes.end(), settled.begin(), settled.end());
  }
  for (auto& [backend, suspected] : suspected_) {
    std::erase_if(suspected.requests, [now](const BrokenRequest& broken) {
      return now - broken.when > kMaxSuspicionTime;
    });
  }
  std::erase_if(suspected_,
                [](const auto& suspected) { return suspected.second.requests.empty(); });
  std::erase_if(exited_, [now](const auto& ended) { return now - ended.second > kExitRetention; });
  return strikes;
}

}  // namespace cartsail
