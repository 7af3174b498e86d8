// Tests that durations do not overflow, and that the clock for leases, deadlines and ages keeps
// running while the machine is suspended. The steady clock stops then: with it, a node that was
// suspended for longer than its lease still considered the lease valid, and old messages recent.
#include "cartsail/base/clock.h"

#include <cstdint>
#include <limits>

#include "testing/criterion.h"
#include "testing/suspension.h"

namespace cartsail {
namespace {

Test(clock, goes_on_while_the_machine_is_suspended) {
  const TimePoint before = Now();
  testing::Suspend(seconds(5));
  const Duration passed = Now() - before;
  cr_assert(passed >= seconds(5), "%.3f s", ToSeconds(passed));
  cr_assert(passed < seconds(6), "%.3f s", ToSeconds(passed));
}

// Whatever a message, a header or an entry says, a point in time plus the duration is one.
Test(clock, durations_of_numbers_that_are_too_large_do_not_overflow) {
  constexpr int64_t kMost = std::numeric_limits<int64_t>::max();
  constexpr int64_t kLeast = std::numeric_limits<int64_t>::min();
  for (const Duration longest :
       {FromSeconds(1e300), FromSeconds(std::numeric_limits<double>::infinity()), FromMillis(kMost),
        FromMillis(kMost / 1000)}) {
    cr_expect(longest == kLongestDuration, "%.0f s", ToSeconds(longest));
  }
  for (const Duration least : {FromSeconds(-1e300), FromMillis(kLeast)}) {
    cr_expect(least == -kLongestDuration, "%.0f s", ToSeconds(least));
  }
  cr_expect(Now() + 2 * kLongestDuration > Now() && Now() - 2 * kLongestDuration < Now());
  cr_expect(FromSeconds(std::numeric_limits<double>::quiet_NaN()) == Duration(0));
  cr_expect(FromSeconds(0.25) == milliseconds(250) && FromMillis(-7) == milliseconds(-7));
}

}  // namespace
}  // namespace cartsail
