#include "fleet_recorder.h"

#include <algorithm>

namespace cartsail::emulator {
namespace {

constexpr double kWindowSeconds = 30;
constexpr int kSteadySeconds = 5;
constexpr double kRecoveredShare = 0.99;

}  // namespace

FleetRecorder::FleetRecorder(const Workload& workload, TimePoint start)
    : workload_(workload),
      start_(start),
      top_tier_(workload.classes.front().tier),
      lowest_tier_(workload.classes.front().tier) {
  for (const TrafficClass& traffic : workload.classes) {
    top_tier_ = std::min(top_tier_, traffic.tier);
    lowest_tier_ = std::max(lowest_tier_, traffic.tier);
  }
}

void FleetRecorder::Add(const TrafficClass& traffic, TimePoint arrival, TimePoint now,
                        const RequestResult& result) {
  ++ended_;
  measures_.Add(result);
  if (traffic.tier == lowest_tier_ && result.completed) {
    ++lowest_windows_[static_cast<int64_t>(ToSeconds(now - start_) / kWindowSeconds)];
  }
  if (traffic.tier == top_tier_) {
    auto& [arrived, good] = top_seconds_[static_cast<int64_t>(ToSeconds(arrival - start_))];
    ++arrived;
    if (result.WithinTarget()) ++good;
  }
}

void FleetRecorder::CountPlatformCall(TimePoint now) {
  ++platform_calls_;
  const auto second = static_cast<int64_t>(ToSeconds(now - start_));
  platform_peak_ = std::max(platform_peak_, ++calls_by_second_[second]);
}

double FleetRecorder::TopAttainment() const {
  double attainment = 0;
  for (const TrafficClass& traffic : workload_.classes) {
    const auto found = measures_.Classes().find(traffic.name);
    if (traffic.tier == top_tier_ && found != measures_.Classes().end()) {
      attainment = found->second.Attainment();
    }
  }
  return attainment;
}

int64_t FleetRecorder::LowestMinWindow(double seconds) const {
  int64_t least = -1;
  const auto windows = static_cast<int64_t>(seconds / kWindowSeconds);
  for (int64_t i = 0; i < windows; ++i) {
    const auto found = lowest_windows_.find(i);
    const int64_t count = found == lowest_windows_.end() ? 0 : found->second;
    if (least < 0 || count < least) least = count;
  }
  return least;
}

double FleetRecorder::RecoverySeconds(double fault, double seconds) const {
  if (fault < 0) return -1;
  int steady = 0;
  for (auto second = static_cast<int64_t>(fault); second < static_cast<int64_t>(seconds);
       ++second) {
    const auto found = top_seconds_.find(second);
    const bool good = found != top_seconds_.end() &&
                      static_cast<double>(found->second.second) >=
                          kRecoveredShare * static_cast<double>(found->second.first);
    steady = good ? steady + 1 : 0;
    if (steady == kSteadySeconds) {
      return static_cast<double>(second - kSteadySeconds + 1) - fault;
    }
  }
  return -1;
}

}  // namespace cartsail::emulator
