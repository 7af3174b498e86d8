// The baseline: every node chooses alone, by reports that lag.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet_run.h"

namespace cartsail::emulator {

void Fleet::ScheduleReport(size_t index, uint64_t incarnation) {
  events_.After(kReportInterval, [this, index, incarnation] {
    if (!IsUp(index, incarnation)) return;
    for (int i = 0; i < engines_.Count(); ++i) {
      nodes_[index]->reported_load[engines_.IdOf(i)] = engines_.Load(i);
    }
    ScheduleReport(index, incarnation);
  });
}

void Fleet::SendAgainLater(const RequestPtr& request, SlotPurpose purpose) {
  const TrafficClass& traffic = *request->traffic;
  const double ratio = options_.policy.retry_ratio;
  if (purpose == SlotPurpose::kFirst) {
    retry_budget_.NoteFirstTry(traffic.name, std::max(0.0, ratio));
  }
  if (!traffic.repeatable) return;
  const int attempt = request->attempt;
  events_.After(traffic.ttft_target * 2, [this, request, attempt, ratio] {
    if (request->done || request->first_token != TimePoint() || request->attempt != attempt) return;
    if (ratio >= 0 && !retry_budget_.TakeRetry(request->traffic->name)) return;
    ++retries_;
    // The engine is not told: what it computes from here on is for nobody.
    running_.erase(request->sequence);
    SendAlone(request, SlotPurpose::kRetry);
  });
}

void Fleet::SendAlone(const RequestPtr& request, SlotPurpose purpose) {
  HollowNode& node = *nodes_[request->node];
  std::vector<int> visible;
  for (int i = 0; i < engines_.Count(); ++i) {
    if (Sees(node.zone, engines_.ZoneOf(i))) visible.push_back(i);
  }
  const int first = visible[random_() % visible.size()];
  const int second = visible[random_() % visible.size()];
  double& load_first = node.reported_load[engines_.IdOf(first)];
  double& load_second = node.reported_load[engines_.IdOf(second)];
  request->engine = load_first <= load_second ? first : second;
  (load_first <= load_second ? load_first : load_second) += 1;
  request->granted = events_.Time();
  const int attempt = ++request->attempt;
  StartOnEngine(request);
  if (options_.policy.impatient) SendAgainLater(request, purpose);
  // Given up when it has waited as long as its class allows.
  events_.At(request->arrival + request->traffic->max_wait, [this, request, attempt] {
    if (request->done || request->first_token != TimePoint() || request->attempt != attempt) {
      return;
    }
    if (running_.erase(request->sequence) > 0) {
      engines_.Cancel(request->engine, request->sequence);
    }
    Fail(request, "queue_timeout");
  });
}

}  // namespace cartsail::emulator
