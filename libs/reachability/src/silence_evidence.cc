#include "cartsail/reachability/silence_evidence.h"

#include <algorithm>

namespace cartsail {
namespace {

// Back ends that stop at the same time are noticed at different times, since each has sent its last
// data a little earlier or later: half of the attempt's own silence is enough for the others.
constexpr int kOthersSilenceDivisor = 2;
// After a pause the back end does not resume all of its streams at once.
constexpr Duration kMinSpeakingTime = milliseconds(500);

bool IsSilent(const BackendActivity& activity, Duration silence, TimePoint now) {
  return activity.is_waiting && activity.SilentFor(now) >= silence;
}

bool KeepsSpeaking(const BackendActivity& activity, TimePoint now) {
  const bool speaks = activity.SilentFor(now) < kSpeakingGap;
  return speaks && now - activity.speaking_since >= kMinSpeakingTime;
}

// Right after a pause of the whole service, some back ends send data a little earlier than others.
bool HasJustWoken(const BackendActivity& activity, Duration silence, TimePoint now) {
  return now - activity.speaking_since < kMinSpeakingTime && activity.silent_before >= silence;
}

}  // namespace

Duration BackendActivity::SilentFor(TimePoint now) const {
  const TimePoint since = is_waiting ? std::max(heard, waiting_since) : heard;
  return now - since;
}

SilenceEvidence EvidenceOfSilence(BackendKey backend, TimePoint since, TimePoint now,
                                  const std::vector<BackendActivity>& service) {
  SilenceEvidence evidence;
  evidence.silent_for = now - since;
  const Duration others_silence = evidence.silent_for / kOthersSilenceDivisor;
  for (const BackendActivity& activity : service) {
    if (activity.backend == backend) {
      evidence.backend_speaks = evidence.backend_speaks || KeepsSpeaking(activity, now);
      evidence.is_unreachable = evidence.is_unreachable || activity.is_unreachable;
    } else if (activity.is_unreachable) {
      continue;  // lost, not paused
    } else if (IsSilent(activity, others_silence, now) ||
               HasJustWoken(activity, others_silence, now)) {
      ++evidence.others_silent;
    } else if (now - activity.heard < others_silence) {
      ++evidence.others_speaking;
    }
  }
  return evidence;
}

std::vector<BackendKey> SilentBackends(Duration silence, TimePoint now,
                                       const std::vector<BackendActivity>& service) {
  std::vector<BackendKey> silent;
  for (const BackendActivity& activity : service) {
    if (activity.is_unreachable || IsSilent(activity, silence, now)) {
      silent.push_back(activity.backend);
    }
  }
  return silent;
}

}  // namespace cartsail
