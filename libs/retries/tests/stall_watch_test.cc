#include "cartsail/retries/stall_detector.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

// Data read right after a pause was sent during it, by clients that may have waited long.
Test(stall_watch, data_queued_during_a_pause_is_not_fresh) {
  StallDetector detector;
  detector.Beat(kStart);
  detector.Beat(kStart + seconds(1));
  const TimePoint settled = kStart + seconds(2);
  for (TimePoint at = kStart + seconds(1); at <= settled; at += StallDetector::kInterval) {
    detector.Beat(at);
  }
  cr_assert(detector.IsFresh(settled));
  const TimePoint resumed = settled + seconds(5);
  cr_assert(!detector.IsFresh(resumed), "before the beat");
  detector.Beat(resumed);
  cr_assert(!detector.IsFresh(resumed), "after it");
  TimePoint now = resumed;
  for (; now < resumed + seconds(1); now += StallDetector::kInterval) detector.Beat(now);
  cr_assert(detector.IsFresh(now));
}

}  // namespace
}  // namespace cartsail
