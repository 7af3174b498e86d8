#include "cartsail/retries/stall_detector.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

// What is read right after a stop was sent during it, by callers who may have been waiting long.
Test(stall_watch, what_waited_while_the_process_stood_still_is_not_fresh) {
  StallDetector watch;
  watch.Beat(kStart);
  watch.Beat(kStart + seconds(1));
  const TimePoint settled = kStart + seconds(2);
  for (TimePoint at = kStart + seconds(1); at <= settled; at += StallDetector::kInterval) {
    watch.Beat(at);
  }
  cr_assert(watch.IsFresh(settled));
  const TimePoint awake = settled + seconds(5);
  cr_assert(!watch.IsFresh(awake), "before the beat");
  watch.Beat(awake);
  cr_assert(!watch.IsFresh(awake), "after it");
  TimePoint now = awake;
  for (; now < awake + seconds(1); now += StallDetector::kInterval) watch.Beat(now);
  cr_assert(watch.IsFresh(now));
}

}  // namespace
}  // namespace cartsail
