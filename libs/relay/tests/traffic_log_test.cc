#include "fleet/traffic_log.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(100));

Test(traffic_log, tells_what_was_sent_since_the_last_line) {
  Counters counters;
  TrafficLog log(kStart);
  counters.peer_update_bytes_sent_total.Add(700);
  counters.peer_far_bytes_sent_total.Add(300);
  cr_assert(!log.Take(counters, kStart + seconds(9)).has_value(), "lines are rare");
  const auto first = log.Take(counters, kStart + seconds(10));
  cr_assert(first.has_value());
  cr_assert(first->update == 700 && first->far == 300 && first->gossip == 0);
  counters.peer_update_bytes_sent_total.Add(20);
  counters.catalog_bytes_sent_total.Add(48000);
  const auto second = log.Take(counters, kStart + seconds(20));
  cr_assert(second.has_value());
  cr_assert(second->update == 20 && second->far == 0 && second->catalog == 48000);
}

Test(traffic_log, is_silent_when_nothing_was_sent) {
  const Counters counters;
  TrafficLog log(kStart);
  cr_assert(!log.Take(counters, kStart + seconds(60)).has_value());
}

}  // namespace
}  // namespace cartsail
