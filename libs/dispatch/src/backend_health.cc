#include "cartsail/dispatch/backend_health.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

constexpr double kAssumedSuccesses = 3;
constexpr double kLeastFailures = 0.2;   // that count as lately
constexpr double kSlownessWeight = 0.1;  // of one measurement
constexpr double kMostSlowness = 10;
constexpr Duration kSlownessFade = seconds(10);  // what is beyond 1 falls to a third in this time
constexpr Duration kFadeTime = seconds(4);       // the share falls to a third in this time
constexpr Duration kFirstSuspension = milliseconds(250);
constexpr Duration kLongestSuspension = seconds(3);

bool IsLoss(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kSilent;
}

bool SaysNothing(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kCallerGone || outcome == AttemptOutcome::kWithheld ||
         outcome == AttemptOutcome::kGivenUp || outcome == AttemptOutcome::kNoPath ||
         outcome == AttemptOutcome::kPathLost;
}

bool CountsAsFailure(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kAnswered && !SaysNothing(outcome);
}

// What is left after `age` of what falls to a third in `fade`.
double FadedShare(Duration age, Duration fade) {
  return std::exp(-std::max(0.0, ToSeconds(age)) / ToSeconds(fade));
}

Duration SuspensionAfter(int losses) {
  Duration suspension = kFirstSuspension;
  for (int i = 1; i < losses && suspension < kLongestSuspension; ++i) suspension *= 2;
  return std::min(suspension, kLongestSuspension);
}

}  // namespace

const BackendHealth::Record* BackendHealth::Find(BackendKey backend) const {
  const auto record = records_.find(backend);
  return record == records_.end() ? nullptr : &record->second;
}

void BackendHealth::Note(BackendKey backend, AttemptOutcome outcome, AttemptOrigin origin,
                         TimePoint now) {
  if (SaysNothing(outcome)) return;
  const RecentAttempts faded = Recent(backend, origin, now);
  Record& record = records_[backend];
  FadingAttempts& attempts = origin == AttemptOrigin::kOwn ? record.own : record.of_peers;
  attempts.recent.attempts = faded.attempts + 1;
  attempts.recent.failures = faded.failures + (CountsAsFailure(outcome) ? 1 : 0);
  attempts.updated = now;
  if (!IsLoss(outcome)) {
    record.consecutive_losses = 0;
    // Another node's loss may be that node's own: one that gets answers shows that it lives.
    record.suspended_until = std::min(record.suspended_until, now);
    return;
  }
  ++record.consecutive_losses;
  record.suspended_until = now + SuspensionAfter(record.consecutive_losses);
}

void BackendHealth::NotePace(BackendKey backend, double ratio, TimePoint now) {
  Record& record = records_[backend];
  const double bounded = std::clamp(ratio, 0.2, kMostSlowness);
  const double faded = 1 + (record.slowness - 1) * FadedShare(now - record.paced, kSlownessFade);
  record.slowness = faded + kSlownessWeight * (bounded - faded);
  record.paced = now;
}

bool BackendHealth::IsSuspended(BackendKey backend, TimePoint now) const {
  const Record* record = Find(backend);
  return record != nullptr && now < record->suspended_until;
}

RecentAttempts BackendHealth::Recent(BackendKey backend, AttemptOrigin origin,
                                     TimePoint now) const {
  const Record* record = Find(backend);
  if (record == nullptr) return {};
  const FadingAttempts& attempts = origin == AttemptOrigin::kOwn ? record->own : record->of_peers;
  if (attempts.recent.attempts == 0) return {};
  const double fading = FadedShare(now - attempts.updated, kFadeTime);
  return {attempts.recent.attempts * fading, attempts.recent.failures * fading};
}

std::vector<BackendKey> BackendHealth::RecentlyFailing(TimePoint now) const {
  std::vector<BackendKey> failing;
  for (const auto& [backend, record] : records_) {
    const RecentAttempts recent = Recent(backend, AttemptOrigin::kOwn, now);
    if (recent.failures >= kLeastFailures) failing.push_back(backend);
  }
  return failing;
}

double FailureShare(const RecentAttempts& recent) {
  return recent.failures / (recent.attempts + kAssumedSuccesses);
}

double BackendHealth::Slowness(BackendKey backend, TimePoint now) const {
  const Record* record = Find(backend);
  if (record == nullptr) return 1;
  const double beyond = (record->slowness - 1) * FadedShare(now - record->paced, kSlownessFade);
  return 1 + std::max(beyond, 0.0);
}

void BackendHealth::ForgetUnless(const std::function<bool(BackendKey backend)>& is_known) {
  std::erase_if(records_, [&is_known](const auto& record) { return !is_known(record.first); });
}

}  // namespace cartsail
