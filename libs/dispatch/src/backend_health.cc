#include "cartsail/dispatch/backend_health.h"

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

constexpr double kAssumedSuccesses = 3;
constexpr double kLeastFailures = 0.2;      // that count as lately
constexpr double kSlownessWeight = 0.1;     // of one measurement
constexpr double kPauseRelaxation = 1.002;  // a least pause grows by this with each slower stream
constexpr double kMostSlowness = 10;
constexpr Duration kFadeTime = seconds(4);  // the share falls to a third in this time
constexpr Duration kFirstSuspension = milliseconds(250);
constexpr Duration kLongestSuspension = seconds(3);

bool IsLoss(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kSilent;
}

bool CountsAsFailure(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kAnswered && outcome != AttemptOutcome::kCallerGone;
}

Duration SuspensionAfter(int losses) {
  Duration suspension = kFirstSuspension;
  for (int i = 1; i < losses && suspension < kLongestSuspension; ++i) suspension *= 2;
  return std::min(suspension, kLongestSuspension);
}

}  // namespace

const BackendHealth::Record* BackendHealth::Find(std::string_view backend) const {
  const auto record = records_.find(std::string(backend));
  return record == records_.end() ? nullptr : &record->second;
}

void BackendHealth::Note(std::string_view backend, AttemptOutcome outcome, TimePoint now) {
  if (outcome == AttemptOutcome::kCallerGone) return;
  const RecentAttempts faded = Recent(backend, now);
  Record& record = records_[std::string(backend)];
  record.recent.attempts = faded.attempts + 1;
  record.recent.failures = faded.failures + (CountsAsFailure(outcome) ? 1 : 0);
  record.updated = now;
  if (!IsLoss(outcome)) {
    record.consecutive_losses = 0;
    return;
  }
  ++record.consecutive_losses;
  record.suspended_until = now + SuspensionAfter(record.consecutive_losses);
}

void BackendHealth::NotePace(std::string_view backend, double ratio) {
  Record& record = records_[std::string(backend)];
  const double bounded = std::clamp(ratio, 0.2, kMostSlowness);
  record.slowness += kSlownessWeight * (bounded - record.slowness);
}

bool BackendHealth::IsSuspended(std::string_view backend, TimePoint now) const {
  const Record* record = Find(backend);
  return record != nullptr && now < record->suspended_until;
}

RecentAttempts BackendHealth::Recent(std::string_view backend, TimePoint now) const {
  const Record* record = Find(backend);
  if (record == nullptr) return {};
  const double age = std::max(0.0, ToSeconds(now - record->updated));
  const double fading = std::exp(-age / ToSeconds(kFadeTime));
  return {record->recent.attempts * fading, record->recent.failures * fading};
}

std::vector<std::string> BackendHealth::FailingLately(TimePoint now) const {
  std::vector<std::string> failing;
  for (const auto& [backend, record] : records_) {
    if (Recent(backend, now).failures >= kLeastFailures) failing.push_back(backend);
  }
  return failing;
}

double FailureShare(const RecentAttempts& recent) {
  return recent.failures / (recent.attempts + kAssumedSuccesses);
}

double BackendHealth::Slowness(std::string_view backend) const {
  const Record* record = Find(backend);
  return record == nullptr ? 1 : std::max(record->slowness, 1.0);
}

void BackendHealth::NotePause(std::string_view backend, double pause_ms) {
  double& least = records_[std::string(backend)].least_pause_ms;
  const bool lower = least == 0 || pause_ms < least;
  least = lower ? pause_ms : least * kPauseRelaxation;
}

void BackendHealth::NotePeerPause(std::string_view backend, double pause_ms) {
  double& least = records_[std::string(backend)].least_pause_ms;
  if (pause_ms > 0 && (least == 0 || pause_ms < least)) least = pause_ms;
}

double BackendHealth::LeastPause(std::string_view backend) const {
  const Record* record = Find(backend);
  return record == nullptr ? 0 : record->least_pause_ms;
}

double BackendHealth::FastestPause() const {
  double fastest = 0;
  for (const auto& [backend, record] : records_) {
    if (record.least_pause_ms == 0) continue;
    if (fastest == 0 || record.least_pause_ms < fastest) fastest = record.least_pause_ms;
  }
  return fastest;
}

void BackendHealth::ForgetUnless(const std::function<bool(const std::string& backend)>& is_known) {
  std::erase_if(records_, [&is_known](const auto& record) { return !is_known(record.first); });
}

}  // namespace cartsail
