// What back ends say of the rate that they take, as nodes read it at different times and tell it
// each other.
#include "cartsail/dispatch/rate_limits.h"

#include <algorithm>
#include <random>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr BackendKey kEngine = 1;
constexpr BackendKey kReborn = 2;
const TimePoint kStart = TimePoint(seconds(1000));
constexpr milliseconds kStartWall(1800000000000);

RateNotice WordAt(std::optional<double> per_s, Duration asked, Duration read) {
  const auto wall = kStartWall + std::chrono::duration_cast<milliseconds>(read);
  return {per_s, kStart + asked, {kStart + read, wall}};
}

Test(rate_limits, a_back_end_that_names_none_takes_any_rate) {
  RateLimits limits;
  cr_assert(limits.Note(kEngine, WordAt({}, seconds(0), seconds(1))) == RateChange::kNone);
  cr_assert(!limits.Of(kEngine).has_value());
  cr_assert(limits.IsEmpty() && !limits.Knows(kEngine));
}

Test(rate_limits, a_rate_is_kept_as_it_was_named) {
  for (const double per_s : {0.0, 0.125, 0.7, 1.3, 1000000.0}) {
    RateLimits limits;
    cr_assert(limits.Note(kEngine, WordAt(per_s, {}, seconds(1))) == RateChange::kNamed);
    cr_assert(limits.Of(kEngine)->per_s == per_s);
    cr_assert(limits.Of(kEngine)->first_named == kStart + seconds(1));
    cr_assert(!limits.IsEmpty());
  }
}

Test(rate_limits, a_smaller_rate_holds_at_once_and_a_larger_one_of_a_request_sent_after_it) {
  RateLimits limits;
  (void)limits.Note(kEngine, WordAt(5, seconds(0), seconds(1)));
  cr_assert(limits.Note(kEngine, WordAt(2, seconds(0), seconds(2))) == RateChange::kChanged);
  // Sent before the smaller rate was read: it may have been made before it, too.
  cr_assert(limits.Note(kEngine, WordAt(9, seconds(1), seconds(3))) == RateChange::kNone);
  cr_assert(limits.Of(kEngine)->per_s == 2);
  cr_assert(limits.Note(kEngine, WordAt(9, seconds(3), seconds(4))) == RateChange::kChanged);
  cr_assert(limits.Of(kEngine)->per_s == 9);
}

Test(rate_limits, an_answer_that_was_made_before_the_rate_was_named_does_not_withdraw_it) {
  RateLimits limits;
  (void)limits.Note(kEngine, WordAt(1, seconds(0), seconds(1)));
  cr_assert(limits.Note(kEngine, WordAt({}, milliseconds(900), seconds(5))) == RateChange::kNone);
  RateNotice unknown = WordAt({}, {}, seconds(5));
  unknown.asked = TimePoint();
  cr_assert(limits.Note(kEngine, unknown) == RateChange::kNone);
  cr_assert(limits.Of(kEngine).has_value());
  const RateNotice withdrawn = WordAt({}, seconds(2), seconds(5));
  cr_assert(limits.Note(kEngine, withdrawn) == RateChange::kWithdrawn);
  cr_assert(!limits.Of(kEngine).has_value() && limits.IsEmpty());
  // It is told late that the rate was named before that.
  cr_assert(limits.Note(kEngine, WordAt(1, seconds(1), seconds(3))) == RateChange::kNone);
  cr_assert(limits.Note(kEngine, WordAt(1, seconds(1), seconds(6))) == RateChange::kNamed);
  cr_assert(limits.Of(kEngine)->first_named == kStart + seconds(1), "long before");
}

// Whatever the order in which nodes hear of them.
Test(rate_limits, the_last_word_of_a_back_end_holds_in_any_order) {
  std::mt19937 random(5);
  const std::vector<std::optional<double>> said = {4.0, 1.5,          std::nullopt, 0.5,
                                                   3.0, std::nullopt, 2.0};
  for (int round = 0; round < 200; ++round) {
    std::vector<RateNotice> words;
    for (size_t i = 0; i < said.size(); ++i) {
      const auto at = milliseconds(1000 * i);
      words.push_back(WordAt(said[i], at, at + milliseconds(300)));
    }
    std::shuffle(words.begin(), words.end(), random);
    RateLimits limits;
    for (const RateNotice& word : words) (void)limits.Note(kEngine, word);
    cr_assert(limits.Of(kEngine)->per_s == 2.0);
  }
}

Test(rate_limits, another_incarnation_is_bound_by_what_was_read_after_its_start) {
  RateLimits limits;
  (void)limits.Note(kEngine, WordAt(1, seconds(0), seconds(1)));
  limits.CarryToSuccessor(kEngine, kReborn, kStartWall + seconds(60));
  cr_assert(!limits.Of(kReborn).has_value(), "said by the process before");
  limits.CarryToSuccessor(kEngine, kReborn, kStartWall);
  cr_assert(limits.Of(kReborn)->per_s == 1, "it answered before its start was known");
  // Its own next answer tells the truth.
  (void)limits.Note(kReborn, WordAt({}, seconds(2), seconds(3)));
  cr_assert(!limits.Of(kReborn).has_value());
}

Test(rate_limits, the_newest_words_are_told_and_withdrawals_for_a_while) {
  RateLimits limits;
  for (BackendKey key = 1; key <= 5; ++key) {
    (void)limits.Note(key, WordAt(key, seconds(0), seconds(key)));
  }
  (void)limits.Note(5, WordAt({}, seconds(6), seconds(7)));
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
  (void)limits.Note(kEngine, WordAt(1, seconds(0), seconds(0)));
  (void)limits.Note(kReborn, WordAt(1, seconds(0), seconds(0)));
  const auto is_known = [](BackendKey key) { return key == kReborn; };
  limits.Expire(is_known, kStart + RateLimits::kForgottenAfter - milliseconds(1));
  cr_assert(limits.Knows(kEngine));
  limits.Expire(is_known, kStart + RateLimits::kForgottenAfter);
  cr_assert(!limits.Knows(kEngine) && limits.Knows(kReborn));
  cr_assert(!limits.IsEmpty());
}

}  // namespace
}  // namespace cartsail
