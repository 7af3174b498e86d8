// What back ends write into Retry-After, and what callers are told.
#include "request/retry_after.h"

#include "request/answer_notices.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr char kDate[] = "Thu, 03 Dec 2026 04:00:00 GMT";

Test(retry_after, seconds_with_fractions) {
  cr_assert(ParseRetryAfter("3", "") == seconds(3));
  cr_assert(ParseRetryAfter("2.5", "") == milliseconds(2500));
  cr_assert(ParseRetryAfter("0.001", "") == milliseconds(1));
  cr_assert(ParseRetryAfter("0", "") == Duration(0));
}

Test(retry_after, a_date_is_taken_against_the_answers_own) {
  cr_assert(ParseRetryAfter("Thu, 03 Dec 2026 04:00:07 GMT", kDate) == seconds(7));
  cr_assert(ParseRetryAfter("Thu, 03 Dec 2026 03:00:00 GMT", kDate) == Duration(0), "past");
  cr_assert(ParseRetryAfter("Fri, 03 Dec 2027 04:00:00 GMT", kDate) == kMaxBackoff);
  cr_assert(ParseRetryAfter("Thu, 03 Dec 2026 04:00:07 GMT", "") == kDefaultBackoff);
  cr_assert(ParseRetryAfter("Thu, 03 Dec 2026 04:00:07 GMT", "noon") == kDefaultBackoff);
}

Test(retry_after, absurd_times_are_bounded) {
  cr_assert(ParseRetryAfter("999999999999", "") == kMaxBackoff);
  cr_assert(ParseRetryAfter("1e300", "") == kMaxBackoff);
  for (const char* text : {"inf", "nan", "-3", "1e999", "soon", "3 s", "3,5", "\xff\xfe"}) {
    cr_assert(ParseRetryAfter(text, kDate) == kDefaultBackoff, "%s", text);
  }
  cr_assert(ParseRetryAfter("", kDate) == Duration(0), "missing");
}

Test(retry_after, is_written_rounded_up) {
  cr_assert(RetryAfterText(milliseconds(2500)) == "2.500");
  cr_assert(RetryAfterText(std::chrono::microseconds(1)) == "0.001");
  cr_assert(RetryAfterText(std::chrono::microseconds(1999001)) == "2.000");
  cr_assert(RetryAfterText(seconds(600)) == "600.000");
}

Test(answer_notices, only_who_turns_a_request_away_asks_to_back_off) {
  const WireNames names;
  const HttpHeaders headers = {{"Retry-After", "3"}};
  for (const int status : {503, 429}) {
    cr_assert(ParseNotice(status, headers, names).backoff == seconds(3));
  }
  for (const int status : {200, 404, 421, 500, 504}) {
    cr_assert(!ParseNotice(status, headers, names).backoff.has_value(), "%d", status);
  }
  cr_assert(!ParseNotice(503, {}, names).backoff.has_value());
}

Test(answer_notices, any_answer_may_say_that_its_back_end_leaves) {
  const WireNames names;
  const HttpHeaders headers = {{"cartsail-leaving", "1"}};
  for (const int status : {200, 404, 500, 503}) {
    cr_assert(ParseNotice(status, headers, names).leaving, "%d", status);
  }
  cr_assert(!ParseNotice(421, headers, names).leaving, "of another process");
  cr_assert(!ParseNotice(200, {}, names).leaving);
}

std::optional<RateNotice> RateIn(int status, const HttpHeaders& headers) {
  return ParseRateLimit({status, headers, TimePoint(seconds(7))}, WireNames());
}

Test(answer_notices, any_answer_may_name_a_rate) {
  for (const int status : {200, 404, 500, 503, 504}) {
    const auto word = RateIn(status, {{"cartsail-rate-limit", "1.3"}});
    cr_assert(word.has_value() && word->per_s == 1.3, "%d", status);
    cr_assert(word->asked == TimePoint(seconds(7)));
  }
  const HttpHeaders named = {{"Cartsail-Rate-Limit", "1.3"}};
  cr_assert(!RateIn(421, named).has_value(), "of another process");
  cr_assert(RateIn(200, {{"Cartsail-Rate-Limit", "0"}})->per_s == 0.0);
  cr_assert(RateIn(200, {{"Cartsail-Rate-Limit", "1e300"}})->per_s == 1e6);
}

// The answers of runs are signed. What lies between, or a back end that turns a request away,
// may leave the header out.
Test(answer_notices, only_an_answer_of_a_run_says_that_there_is_no_rate) {
  const auto withdrawn = RateIn(200, {{"Cartsail-Signature", "s"}});
  cr_assert(withdrawn.has_value() && !withdrawn->per_s.has_value());
  cr_assert(!RateIn(503, {{"Cartsail-Not-Run", "1"}}).has_value());
  cr_assert(!RateIn(200, {}).has_value());
  cr_assert(!RateIn(421, {{"Cartsail-Signature", "s"}}).has_value());
}

Test(answer_notices, a_rate_that_cannot_be_read_says_nothing) {
  for (const char* text : {"soon", "-1", "nan", "inf", "1.3 a second", "1,3"}) {
    const HttpHeaders headers = {{"Cartsail-Rate-Limit", text}, {"Cartsail-Signature", "s"}};
    cr_assert(!RateIn(200, headers).has_value(), "%s", text);
  }
}

}  // namespace
}  // namespace cartsail
