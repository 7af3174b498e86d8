#include "cartsail/quarantine/trial_schedule.h"

namespace cartsail {
namespace {

// A trial of what does crash back ends costs one of them: four in the time of a quarantine, after
// 2, 10, 42 and 170 s. What is harmless is freed by the first one.
constexpr Duration kFirstTrialDelay = seconds(2);
constexpr int kPauseFactor = 4;
constexpr Duration kRetention = seconds(1200);
// To the next trial after one that was not sent: back ends may be away.
constexpr Duration kDelayAfterReturn = milliseconds(100);

}  // namespace

bool TrialSchedule::Take(RequestFingerprint quarantine, TimePoint now) {
  const auto [entry, is_new] = trials_.try_emplace(quarantine);
  Trials& trials = entry->second;
  if (is_new) trials = {now + kFirstTrialDelay, kPauseFactor * kFirstTrialDelay};
  if (now < trials.next) return false;
  trials = {now + trials.pause, kPauseFactor * trials.pause};
  return true;
}

void TrialSchedule::Return(RequestFingerprint quarantine, TimePoint now) {
  const auto entry = trials_.find(quarantine);
  if (entry == trials_.end()) return;
  entry->second.next = now + kDelayAfterReturn;
  entry->second.pause /= kPauseFactor;
}

void TrialSchedule::Expire(TimePoint now) {
  std::erase_if(trials_, [now](const auto& entry) { return now - entry.second.next > kRetention; });
}

}  // namespace cartsail
