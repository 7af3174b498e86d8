#include "request_recorder.h"

#include "cartsail/base/status.h"

namespace cartsail {

void RequestRecorder::Asked(const SlotRequest& request) {
  if (request.purpose != SlotPurpose::kFirst || capacity_ == 0) return;
  OpenRecord& open = open_[request.id];
  open.arrival = request.arrival;
  open.record.at_ms = ToMillis(request.arrival - started_);
  open.record.tenant = request.policy->tenant;
  open.record.service = request.policy->service;
  open.record.class_name = request.policy->class_name;
  open.record.model = request.model;
  open.record.tier = request.policy->tier;
}

void RequestRecorder::Decided(RequestId id, const SlotDecision& decision) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  OpenRecord& open = found->second;
  open.granted = Now();
  open.record.granted = decision.status.ok();
  open.record.wait_ms = ToMillis(open.granted - open.arrival);
  if (decision.status.ok()) return;
  open.record.refusal = ErrorKindName(KindOf(decision.status));
  log_.Add(std::move(open.record));
  open_.erase(found);
}

void RequestRecorder::Released(RequestId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  OpenRecord& open = found->second;
  open.record.service_ms = ToMillis(Now() - open.granted);
  log_.Add(std::move(open.record));
  open_.erase(found);
}

}  // namespace cartsail
