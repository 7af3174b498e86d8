// Tests that the fleet's time of day does not depend on any single clock.
#include "cartsail/duties/fleet_clock.h"

#include <string>

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr WallTime kTrue{1'800'000'000'000};
const TimePoint kNow = TimePoint() + seconds(50);

Test(fleet_clock, clocks_that_are_off_on_less_than_half_of_the_nodes_have_no_effect) {
  FleetClock clock;
  clock.AddOwnReading(kTrue + seconds(6), kNow);
  for (int node = 0; node < 10; ++node) {
    const WallTime offset = node < 4 ? WallTime(seconds(5)) : WallTime(node);
    clock.AddPeerReading("n" + std::to_string(node), kTrue + offset, kNow);
  }
  const WallTime error = clock.At(kNow) - kTrue;
  cr_assert(error >= WallTime(0) && error <= WallTime(10));
}

Test(fleet_clock, time_goes_on_by_the_monotonic_clock) {
  FleetClock clock;
  clock.AddOwnReading(kTrue, kNow);
  cr_assert(clock.At(kNow + seconds(3)) == kTrue + seconds(3));
}

Test(fleet_clock, a_clock_that_jumps_back_is_used_again_after_its_next_reading) {
  FleetClock clock;
  for (const char* host : {"a", "b", "c"}) clock.AddPeerReading(host, kTrue + seconds(4), kNow);
  for (const char* host : {"a", "b", "c"})
    clock.AddPeerReading(host, kTrue + seconds(1), kNow + seconds(1));
  cr_assert(clock.At(kNow + seconds(1)) == kTrue + seconds(1));
}

Test(fleet_clock, a_node_that_sends_no_time_is_ignored) {
  FleetClock clock;
  clock.AddOwnReading(kTrue, kNow);
  for (const char* host : {"a", "b", "c"}) clock.AddPeerReading(host, WallTime(0), kNow);
  cr_assert(clock.At(kNow) == kTrue);
}

}  // namespace
}  // namespace cartsail
