#include "cartsail/duties/window_report.h"

#include <utility>

namespace cartsail {

void WindowReport::OnRecorded(RecordOutcome outcome) {
  // After an unknown outcome the record may exist already, which reading shows, or may still be
  // written, in which case a second write fails on its condition.
  step_ = outcome == RecordOutcome::kWritten ? Step::kSend : Step::kRead;
}

void WindowReport::OnRead(std::optional<TenantCounts> recorded, bool is_holder) {
  if (!is_holder) {
    step_ = Step::kLost;
    return;
  }
  if (!recorded.has_value()) {
    step_ = Step::kRecord;
    return;
  }
  counts_ = *std::move(recorded);
  step_ = Step::kSend;
}

void WindowReport::OnSent(SendOutcome outcome) {
  if (outcome == SendOutcome::kAccepted) step_ = Step::kDone;
  if (outcome == SendOutcome::kFenced) step_ = Step::kLost;
}

}  // namespace cartsail
