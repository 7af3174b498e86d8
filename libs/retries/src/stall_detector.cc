#include "cartsail/retries/stall_detector.h"

namespace cartsail {
namespace {

constexpr Duration kMaxBeatGap = milliseconds(400);
// Data that queued up during a pause is read within this time.
constexpr Duration kCatchUpTime = milliseconds(500);

}  // namespace

void StallDetector::Beat(TimePoint now) {
  const bool has_stalled = beat_ != TimePoint() && now - beat_ > kMaxBeatGap;
  if (has_stalled) fresh_from_ = now + kCatchUpTime;
  beat_ = now;
}

bool StallDetector::IsFresh(TimePoint now) const {
  return now - beat_ <= kMaxBeatGap && now >= fresh_from_;
}

}  // namespace cartsail
