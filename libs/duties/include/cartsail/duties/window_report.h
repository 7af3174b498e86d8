// State machine that reports the usage of one window to the platform such that no two reports of a
// window ever differ: counts are recorded in the store by a conditional write before they are sent,
// and every holder sends the recorded counts. Each step may be repeated or carried out late, and
// its answer may be lost. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "cartsail/duties/usage_window.h"

namespace cartsail {

// Result of writing the record, on the condition that there is none yet and that the duty's record
// is still this holder's. kUnknown: no answer.
enum class RecordOutcome { kWritten, kConditionFailed, kUnknown };

// Result of sending a report. kFenced: refused because of its fencing token. kUnknown: no answer.
enum class SendOutcome { kAccepted, kFenced, kUnknown };

class WindowReport {
 public:
  enum class Step {
    kRecord,  // write Counts() to the store
    kRead,    // read the record from the store
    kSend,    // send Counts() to the platform
    kDone,    // accepted by the platform
    kLost,    // another node holds the duty now
  };

  // `counts`: the totals of this holder or, if `recorded`, those of the store's record.
  WindowReport(TenantCounts counts, bool recorded)
      : counts_(std::move(counts)), step_(recorded ? Step::kSend : Step::kRecord) {}

  Step Next() const { return step_; }
  const TenantCounts& Counts() const { return counts_; }

  void OnRecorded(RecordOutcome outcome);

  // `recorded`: empty if there is no record. `is_holder`: the duty's record is this holder's.
  void OnRead(std::optional<TenantCounts> recorded, bool is_holder);

  void OnSent(SendOutcome outcome);

 private:
  TenantCounts counts_;
  Step step_;
};

}  // namespace cartsail
