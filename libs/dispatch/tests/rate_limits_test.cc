// Rate limits that back ends name, which nodes read at different times and report to each other.
#include "cartsail/dispatch/rate_limits.h"

#include <algorithm>
#include <random>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr BackendKey kEngine = 1;
constexpr BackendKey kRestarted = 2;
const TimePoint kStart = TimePoint(seconds(1000));
constexpr milliseconds kStartWall(1800000000000);

RateNotice NoticeAt(std::optional<double> per_s, Duration asked, Duration read) {
  const auto wall = kStartWall + std::chrono::duration_cast<milliseconds>(read);
  return {per_s, kStart + asked, {kStart + read, wall}};
}

Test(rate_limits, a_back_end_that_names_none_takes_any_rate) {
  RateLimits limits;
  cr_assert(limits.Note(kEngine, NoticeAt({}, seconds(0), seconds(1))) == RateChange::kNone);
  cr_assert(!limits.Of(kEngine).has_value());
  cr_assert(limits.IsEmpty() && !limits.Knows(kEngine));
}

Test(rate_limits, a_rate_is_kept_as_it_was_named) {
  for (const double per_s : {0.0, 0.125, 0.7, 1.3, 1000000.0}) {
    RateLimits limits;
    cr_assert(limits.Note(kEngine, NoticeAt(per_s, {}, seconds(1))) == RateChange::kNamed);
    cr_assert(limits.Of(kEngine)->per_s == per_s);
    cr_assert(limits.Of(kEngine)->first_named == kStart + seconds(1));
    cr_assert(!limits.IsEmpty());
  }
}

Test(rate_limits, a_larger_rate_needs_a_request_sent_after_the_smaller_one) {
  RateLimits limits;
  (void)limits.Note(kEngine, NoticeAt(5, seconds(0), seconds(1)));
  cr_assert(limits.Note(kEngine, NoticeAt(2, seconds(0), seconds(2))) == RateChange::kChanged);
  // The request was sent before the smaller rate was read, so its answer may be the older one.
  cr_assert(limits.Note(kEngine, NoticeAt(9, seconds(1), seconds(3))) == RateChange::kNone);
  cr_assert(limits.Of(kEngine)->per_s == 2);
  cr_assert(limits.Note(kEngine, NoticeAt(9, seconds(3), seconds(4))) == RateChange::kChanged);
  cr_assert(limits.Of(kEngine)->per_s == 9);
}

Test(rate_limits, an_answer_from_before_the_rate_was_named_does_not_withdraw_it) {
  RateLimits limits;
  (void)limits.Note(kEngine, NoticeAt(1, seconds(0), seconds(1)));
  cr_assert(limits.Note(kEngine, NoticeAt({}, milliseconds(900), seconds(5))) == RateChange::kNone);
  RateNotice unknown = NoticeAt({}, {}, seconds(5));
  unknown.asked = TimePoint();
  cr_assert(limits.Note(kEngine, unknown) == RateChange::kNone);
  cr_assert(limits.Of(kEngine).has_value());
  const RateNotice withdrawn = NoticeAt({}, seconds(2), seconds(5));
  cr_assert(limits.Note(kEngine, withdrawn) == RateChange::kWithdrawn);
  cr_assert(!limits.Of(kEngine).has_value() && limits.IsEmpty());
  // A report arrives late of a rate that was read before the withdrawal.
  cr_assert(limits.Note(kEngine, NoticeAt(1, seconds(1), seconds(3))) == RateChange::kNone);
  cr_assert(limits.Note(kEngine, NoticeAt(1, seconds(1), seconds(6))) == RateChange::kNamed);
  cr_assert(limits.Of(kEngine)->first_named == kStart + seconds(1), "kept from the first notice");
}

// For any order in which a node learns of the notices.
Test(rate_limits, the_latest_notice_holds_in_any_order) {
  std::mt19937 random(5);
  const std::vector<std::optional<double>> named_rates = {4.0, 1.5,          std::nullopt, 0.5,
                                                          3.0, std::nullopt, 2.0};
  for (int round = 0; round < 200; ++round) {
    std::vector<RateNotice> notices;
    for (size_t i = 0; i < named_rates.size(); ++i) {
      const auto at = milliseconds(1000 * i);
      notices.push_back(NoticeAt(named_rates[i], at, at + milliseconds(300)));
    }
    std::shuffle(notices.begin(), notices.end(), random);
    RateLimits limits;
    for (const RateNotice& notice : notices) (void)limits.Note(kEngine, notice);
    cr_assert(limits.Of(kEngine)->per_s == 2.0);
  }
}

Test(rate_limits, a_restart_takes_over_only_rates_read_after_its_start) {
  RateLimits limits;
  (void)limits.Note(kEngine, NoticeAt(1, seconds(0), seconds(1)));
  limits.CarryToSuccessor(kEngine, kRestarted, kStartWall + seconds(60));
  cr_assert(!limits.Of(kRestarted).has_value(), "sent by the earlier process");
  limits.CarryToSuccessor(kEngine, kRestarted, kStartWall);
  cr_assert(limits.Of(kRestarted)->per_s == 1, "it answered before its start was known");
  // The next answer of the new incarnation itself decides.
  (void)limits.Note(kRestarted, NoticeAt({}, seconds(2), seconds(3)));
  cr_assert(!limits.Of(kRestarted).has_value());
}

Test(rate_limits, the_latest_notices_are_reported_and_withdrawals_for_a_while) {
  RateLimits limits;
  for (BackendKey key = 1; key <= 5; ++key) {
    (void)limits.Note(key, NoticeAt(key, seconds(0), seconds(key)));
  }
  (void)limits.Note(5, NoticeAt({}, seconds(6), seconds(7)));
  const auto all = [](BackendKey) { return true; };
  const std::vector<BackendRateNotice> two = limits.Latest(all, 2, kStart + seconds(8));
  cr_assert(two.size() == 2 && two[0].backend == 5 && two[1].backend == 4);
  cr_assert(!two[0].notice.per_s.has_value() && two[1].notice.per_s == 4.0);
  const TimePoint later = kStart + seconds(7) + RateLimits::kWithdrawnTold;
  cr_assert(limits.Latest(all, 9, later).size() == 4);
  const auto even = [](BackendKey key) { return key % 2 == 0; };
  cr_assert(limits.Latest(even, 9, later).size() == 2);
}

Test(rate_limits, back_ends_that_are_gone_are_forgotten) {
  RateLimits limits;
  (void)limits.Note(kEngine, NoticeAt(1, seconds(0), seconds(0)));
  (void)limits.Note(kRestarted, NoticeAt(1, seconds(0), seconds(0)));
  const auto is_known = [](BackendKey key) { return key == kRestarted; };
  limits.Expire(is_known, kStart + RateLimits::kForgottenAfter - milliseconds(1));
  cr_assert(limits.Knows(kEngine));
  limits.Expire(is_known, kStart + RateLimits::kForgottenAfter);
  cr_assert(!limits.Knows(kEngine) && limits.Knows(kRestarted));
  cr_assert(!limits.IsEmpty());
}

}  // namespace
}  // namespace cartsail
