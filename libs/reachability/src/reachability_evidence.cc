#include "cartsail/reachability/reachability_evidence.h"

namespace cartsail {

void ReachabilityEvidence::Note(ConnectResult result) {
  connected_ = connected_ || result == ConnectResult::kConnected;
  refused_ += result == ConnectResult::kRefused ? 1 : 0;
  failed_ += result == ConnectResult::kFailed ? 1 : 0;
}

PathVerdict ReachabilityEvidence::Verdict() const {
  if (connected_) return PathVerdict::kCut;
  const bool is_refused = own_ == ConnectResult::kRefused;
  if (refused_ + failed_ == 0) {
    return is_refused && !may_ask_ ? PathVerdict::kEnded : PathVerdict::kUnknown;
  }
  return is_refused && failed_ == 0 ? PathVerdict::kEnded : PathVerdict::kUnreachable;
}

}  // namespace cartsail
