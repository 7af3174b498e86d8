// What a virtual run adds up: the users' measures, windows of the lowest class, recovery of the top
// class, calls to the platform.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "cartsail/operations/workload.h"
#include "measures.h"

namespace cartsail::emulator {

class FleetRecorder {
 public:
  FleetRecorder(const Workload& workload, TimePoint start);

  void Add(const TrafficClass& traffic, TimePoint arrival, TimePoint now,
           const RequestResult& result);
  void CountPlatformCall(TimePoint now);

  const Measures& GetMeasures() const { return measures_; }
  int64_t Ended() const { return ended_; }
  int64_t PlatformCalls() const { return platform_calls_; }
  int64_t PlatformPeak() const { return platform_peak_; }

  // Share of the top class within target.
  double TopAttainment() const;
  // Completions of the lowest tier in its worst window of 30 s.
  int64_t LowestMinWindow(double seconds) const;
  // Seconds from `fault` to the first of five seconds in a row in which 99 in 100 of the top class
  // that arrived were within target; -1 when there was no fault or no such time.
  double RecoverySeconds(double fault, double seconds) const;

 private:
  const Workload& workload_;
  TimePoint start_;
  int top_tier_;
  int lowest_tier_;
  Measures measures_;
  int64_t ended_ = 0;
  int64_t platform_calls_ = 0;
  int64_t platform_peak_ = 0;
  std::map<int64_t, int64_t> calls_by_second_;
  std::map<int64_t, int64_t> lowest_windows_;
  std::map<int64_t, std::pair<int64_t, int64_t>> top_seconds_;  // arrived, within target
};

}  // namespace cartsail::emulator
