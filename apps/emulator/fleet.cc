// A run from its start to its report.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet_run.h"

namespace cartsail::emulator {

FleetReport Fleet::Run() {
  MakeNodes();
  for (size_t i = 0; i < workload_.classes.size(); ++i) ScheduleArrival(i, start_);
  for (const FleetFault& fault : options_.faults) {
    events_.At(start_ + FromSeconds(fault.at), [this, fault] { Apply(fault); });
  }
  events_.RunUntil(start_ + FromSeconds(options_.seconds));
  // What is still under way is wanted too: work counts as wasted only when nobody got it.
  for (int i = 0; i < kLongestTailSeconds && recorder_.Ended() < requests_; ++i) {
    events_.RunUntil(events_.Time() + seconds(1));
  }
  return Report();
}

FleetReport Fleet::Report() {
  FleetReport report;
  report.measures = recorder_.GetMeasures().Report(options_.seconds, engines_.ComputedTokens());
  report.requests = requests_;
  report.goodput = GetDouble(report.measures, "goodput_per_s");
  report.wasted_share = GetDouble(report.measures, "wasted_share");
  report.top_attainment = recorder_.TopAttainment();
  report.lowest_min_window = recorder_.LowestMinWindow(options_.seconds);
  const double node_seconds =
      static_cast<double>(nodes_.size()) * ToSeconds(events_.Time() - start_);
  report.messages_per_node_second = static_cast<double>(messages_) / node_seconds;
  report.heartbeats_per_node_second = static_cast<double>(heartbeats_) / node_seconds;
  report.per_request_messages = static_cast<double>(messages_ - heartbeats_) /
                                std::max<double>(1, static_cast<double>(requests_));
  report.platform_calls = recorder_.PlatformCalls();
  report.platform_calls_peak = recorder_.PlatformPeak();
  report.preemptions = preemptions_;
  report.retries = retries_;
  report.decision_micros_per_request =
      ToSeconds(decision_time_) * 1e6 / std::max<double>(1, static_cast<double>(requests_));
  report.decision_core_share = ToSeconds(decision_time_) / node_seconds;
  report.recovery_seconds = recorder_.RecoverySeconds(first_fault_, options_.seconds);
  return report;
}

FleetReport RunFleet(const Workload& workload, const FleetOptions& options) {
  Fleet fleet(workload, options);
  return fleet.Run();
}

}  // namespace cartsail::emulator
