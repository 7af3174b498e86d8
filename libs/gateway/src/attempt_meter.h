// Measures one answer as it streams: what the engine's owner learns when the slot is released.
#pragma once

#include "cartsail/base/clock.h"
#include "cartsail/scheduler/types.h"

namespace cartsail {

class AttemptMeter {
 public:
  explicit AttemptMeter(TimePoint grant) : grant_(grant) {}

  void NoteToken(TimePoint now) {
    if (tokens_ == 0) first_ = now;
    last_ = now;
    ++tokens_;
  }

  ServiceReport Report(bool started) const {
    ServiceReport report;
    report.started = started;
    report.tokens = tokens_;
    if (tokens_ > 0) report.first_token = first_ - grant_;
    if (tokens_ > 1) report.token_interval = (last_ - first_) / (tokens_ - 1);
    return report;
  }

 private:
  TimePoint grant_;
  TimePoint first_{};
  TimePoint last_{};
  int64_t tokens_ = 0;
};

}  // namespace cartsail
