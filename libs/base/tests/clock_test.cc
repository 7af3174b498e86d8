// Tests that the clock for leases, deadlines and ages keeps running while the machine is suspended.
// The steady clock stops then: with it, a node that was suspended for longer than its lease still
// considered the lease valid, and old messages recent.
#include "cartsail/base/clock.h"

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

}  // namespace
}  // namespace cartsail
