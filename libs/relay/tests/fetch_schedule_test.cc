#include "catalog/fetch_schedule.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kNow = TimePoint(seconds(1000));

Test(fetch_schedule, a_pause_after_each_fetch_unless_a_document_is_to_be_had) {
  FetchSchedule schedule;
  cr_assert(schedule.MayBegin("a", false, kNow));
  schedule.End(schedule.Begin("a", kNow), kNow);
  cr_assert(!schedule.MayBegin("a", false, kNow + milliseconds(1)));
  cr_assert(schedule.MayBegin("a", true, kNow + milliseconds(1)));
  cr_assert(schedule.MayBegin("a", false, kNow + FetchSchedule::kPause));
}

Test(fetch_schedule, another_node_is_asked_when_one_takes_long) {
  FetchSchedule schedule;
  const auto first = schedule.Begin("a", kNow);
  cr_assert(!schedule.MayBegin("b", true, kNow + milliseconds(1)));
  const TimePoint later = kNow + FetchSchedule::kOverlapDelay;
  cr_assert(!schedule.MayBegin("a", true, later), "not the same one twice");
  cr_assert(schedule.MayBegin("b", false, later));
  schedule.Begin("b", later);
  schedule.Begin("c", later + FetchSchedule::kOverlapDelay);
  const TimePoint last = later + 2 * FetchSchedule::kOverlapDelay;
  cr_assert(!schedule.MayBegin("d", true, last), "three at once at the most");
  schedule.End(first, last);
  cr_assert(schedule.MayBegin("d", true, last));
}

}  // namespace
}  // namespace cartsail
