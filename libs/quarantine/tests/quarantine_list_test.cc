#include "cartsail/quarantine/quarantine_list.h"

#include "cartsail/quarantine/recent_completions.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart{seconds(1000)};
constexpr RequestFingerprint kRequest = 5;

Test(quarantine_list, a_request_is_kept_until_its_time_is_over) {
  QuarantineList list;
  cr_assert(!list.RemainingTime(kRequest, kStart).has_value());
  cr_assert(list.Add({kRequest, kStart + seconds(600)}, kStart));
  cr_assert(!list.Add({kRequest, kStart + seconds(900)}, kStart), "already quarantined");
  cr_assert(list.RemainingTime(kRequest, kStart + seconds(10)) == Duration(seconds(590)));
  cr_assert(!list.RemainingTime(kRequest, kStart + seconds(600)).has_value());
  list.Expire(kStart + seconds(600));
  cr_assert(list.Size() == 0);
}

// The notice of a quarantine may arrive after the notice that it was lifted.
Test(quarantine_list, a_lifted_request_is_not_added_by_a_late_notice) {
  QuarantineList list;
  (void)list.Add({kRequest, kStart + seconds(600)}, kStart);
  cr_assert(list.Lift(kRequest, kStart + seconds(1)));
  cr_assert(!list.Add({kRequest, kStart + seconds(600)}, kStart + seconds(2)));
  cr_assert(list.Add({kRequest, kStart + seconds(900)}, kStart + seconds(32)));
}

Test(quarantine_list, the_newest_are_listed) {
  QuarantineList list;
  for (RequestFingerprint request = 0; request < 2000; ++request) {
    (void)list.Add({request, kStart + seconds(600) + milliseconds(request)}, kStart);
  }
  cr_assert(list.Size() == 1000);
  const std::vector<QuarantinedRequest> newest = list.Newest(3, kStart);
  cr_assert(newest.size() == 3);
  cr_assert(newest.front().request == 1999);
}

Test(recent_runs, remembers_for_a_minute_and_forgets) {
  RecentCompletions completions;
  completions.Note(kRequest, kStart);
  cr_assert(completions.CompletedSince(kRequest, kStart - seconds(1)));
  cr_assert(!completions.CompletedSince(kRequest, kStart), "not after");
  completions.Note(6, kStart + seconds(59));
  cr_assert(completions.CompletedSince(kRequest, kStart - seconds(1)));
  completions.Note(7, kStart + seconds(130));
  completions.Note(8, kStart + seconds(200));
  cr_assert(!completions.CompletedSince(kRequest, kStart - seconds(1)));
}

Test(recent_runs, is_bounded) {
  RecentCompletions completions;
  for (RequestFingerprint request = 0; request < 100000; ++request)
    completions.Note(request, kStart);
  cr_assert(!completions.CompletedSince(0, kStart - seconds(1)));
  cr_assert(completions.CompletedSince(99999, kStart - seconds(1)));
}

}  // namespace
}  // namespace cartsail
