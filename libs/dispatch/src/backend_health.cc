#include "cartsail/dispatch/backend_health.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

constexpr double kAssumedSuccesses = 3;
constexpr double kMinRecentFailures = 0.2;  // smallest decayed count that counts as recent
constexpr double kSlownessWeight = 0.1;     // weight of one measurement
constexpr double kMaxSlowness = 10;
constexpr Duration kSlownessDecayTime = seconds(10);  // decay time of the slowness beyond 1
constexpr Duration kAttemptDecayTime = seconds(4);    // decay time of the attempts
constexpr Duration kFirstSuspension = milliseconds(250);
constexpr Duration kMaxSuspension = seconds(3);

bool IsLoss(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kSilent;
}

bool IsNeutral(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kCallerGone || outcome == AttemptOutcome::kWithheld ||
         outcome == AttemptOutcome::kGivenUp || outcome == AttemptOutcome::kNoPath ||
         outcome == AttemptOutcome::kPathLost;
}

bool CountsAsFailure(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kAnswered && !IsNeutral(outcome);
}

// Exponential decay factor after `age` with time constant `fade`.
double DecayFactor(Duration age, Duration fade) {
  return std::exp(-std::max(0.0, ToSeconds(age)) / ToSeconds(fade));
}

Duration SuspensionAfter(int losses) {
  Duration suspension = kFirstSuspension;
  for (int i = 1; i < losses && suspension < kMaxSuspension; ++i) suspension *= 2;
  return std::min(suspension, kMaxSuspension);
}

}  // namespace

const BackendHealth::Record* BackendHealth::Find(BackendKey backend) const {
  const auto record = records_.find(backend);
  return record == records_.end() ? nullptr : &record->second;
}

void BackendHealth::Note(BackendKey backend, AttemptOutcome outcome, AttemptOrigin origin,
                         TimePoint now) {
  if (IsNeutral(outcome)) return;
  const RecentAttempts faded = Recent(backend, origin, now);
  Record& record = records_[backend];
  FadingAttempts& attempts = origin == AttemptOrigin::kOwn ? record.own : record.of_peers;
  attempts.recent.attempts = faded.attempts + 1;
  attempts.recent.failures = faded.failures + (CountsAsFailure(outcome) ? 1 : 0);
  attempts.updated = now;
  if (!IsLoss(outcome)) {
    record.consecutive_losses = 0;
    // A loss at another node may be a fault of that node: a back end that answers requests is
    // alive.
    record.suspended_until = std::min(record.suspended_until, now);
    return;
  }
  ++record.consecutive_losses;
  record.suspended_until = now + SuspensionAfter(record.consecutive_losses);
}

void BackendHealth::NotePace(BackendKey backend, double ratio, TimePoint now) {
  Record& record = records_[backend];
  const double bounded = std::clamp(ratio, 0.2, kMaxSlowness);
  const double faded =
      1 + (record.slowness - 1) * DecayFactor(now - record.paced, kSlownessDecayTime);
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
  const double fading = DecayFactor(now - attempts.updated, kAttemptDecayTime);
  return {attempts.recent.attempts * fading, attempts.recent.failures * fading};
}

std::vector<BackendKey> BackendHealth::RecentlyFailing(TimePoint now) const {
  std::vector<BackendKey> failing;
  for (const auto& [backend, record] : records_) {
    const RecentAttempts recent = Recent(backend, AttemptOrigin::kOwn, now);
    if (recent.failures >= kMinRecentFailures) failing.push_back(backend);
  }
  return failing;
}

double FailureShare(const RecentAttempts& recent) {
  return recent.failures / (recent.attempts + kAssumedSuccesses);
}

double BackendHealth::Slowness(BackendKey backend, TimePoint now) const {
  const Record* record = Find(backend);
  if (record == nullptr) return 1;
  const double beyond =
      (record->slowness - 1) * DecayFactor(now - record->paced, kSlownessDecayTime);
  return 1 + std::max(beyond, 0.0);
}

void BackendHealth::ForgetUnless(const std::function<bool(BackendKey backend)>& is_known) {
  std::erase_if(records_, [&is_known](const auto& record) { return !is_known(record.first); });
}

}  // namespace cartsail
