// How one window's usage gets from its holder to the platform, so that no two reports of a window
// ever differ: counts are recorded in the store under a condition before they are sent, and every
// holder sends what is recorded. Each step may be repeated, its answer may be lost, and it may be
// carried out later. Pure.
#pragma once

#include <cstdint>
#include <optional>

#include "cartsail/duties/usage_window.h"

namespace cartsail {

// What became of a write of the record, on the condition that there is none and that the duty's
// record is still this holder's.
enum class RecordOutcome { kWritten, kConditionFailed, kUnknown };

// What became of a report that was sent.
enum class SendOutcome { kAccepted, kFenced, kUnknown };

class WindowReport {
 public:
  enum class Step {
    kRecord,  // write Counts() to the store
    kRead,    // read what is recorded
    kSend,    // send Counts()
    kDone,    // accepted
    kLost,    // the duty is another node's now
  };

  // `counts`: as this holder has summed them up. `recorded`: they come from the store's record.
  WindowReport(TenantCounts counts, bool recorded)
      : counts_(std::move(counts)), step_(recorded ? Step::kSend : Step::kRecord) {}

  Step Next() const { return step_; }
  const TenantCounts& Counts() const { return counts_; }

  void OnRecorded(RecordOutcome outcome);

  // `recorded`: nothing when there is no record; `holds`: the duty's record is this holder's.
  void OnRead(std::optional<TenantCounts> recorded, bool holds);

  void OnSent(SendOutcome outcome);

 private:
  TenantCounts counts_;
  Step step_;
};

}  // namespace cartsail
