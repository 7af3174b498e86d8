// Duties as the logs of nodes tell them.
#include "cartsail/operations/duty_history.h"

#include <string>

#include "testing/criterion.h"

namespace cartsail {
namespace {

LogLine At(const std::string& second, const std::string& text) {
  return ParseLogLine("n1", "ts=2026-01-01T00:00:" + second + ".000Z level=info event=" + text);
}

Test(duty_history, holds_windows_and_orders_are_told) {
  const LogLine reported =
      At("07", "usage_reported window=41 accepted=true token=5 tenants=2 requests=90 after_ms=120");
  const DutyHistory history = AnalyzeDuties(
      {At("01", "duty_taken duty=cartsail/duty/usage token=5"),
       At("02", "duty_taken duty=cartsail/duty/engines token=6"), reported, reported,
       At("08", "duty_lost duty=cartsail/duty/usage why=lease_over"),
       At("12", "duty_taken duty=cartsail/duty/usage token=9"),
       At("13", "usage_not_reported window=42 why=nodes_restarted"),
       At("14", "usage_late host=10.0.0.1 window=41 requests=7"),
       At("15",
          "engines_ordered service=s zone=a kind=reclaimable engines=40 requests=200 wanted=80 "
          "token=6"),
       At("16", "engine_order_failed service=s zone=a kind=reclaimable outcome=unknown why=late"),
       At("18",
          "engines_ordered service=s zone=a kind=reclaimable engines=44 requests=300 wanted=88 "
          "token=6")});
  cr_assert(history.holds.size() == 3);
  cr_assert(history.holds[0].token == "5" && history.holds[0].reason == "lease_over");
  cr_assert(history.holds[0].acts == 1);
  cr_assert(history.holds[1].token == "6" && history.holds[1].lost.empty());
  cr_assert(history.holds[1].acts == 2);
  cr_assert(history.windows.size() == 2);
  cr_assert(history.windows[0].accepted && history.windows[0].requests == "90");
  cr_assert(!history.windows[1].accepted && history.windows[1].reason == "nodes_restarted");
  cr_assert(history.orders.size() == 1);
  cr_assert(history.orders[0].engines == "44" && history.orders[0].orders == 2);
  cr_assert(history.orders[0].failed == 1);
  cr_assert(history.late_requests == 7);
}

Test(duty_history, other_lines_tell_nothing) {
  cr_assert(AnalyzeDuties({ParseLogLine("n", "Segmentation fault"),
                           At("01", "request request=r1 result=answered")})
                .IsEmpty());
}

}  // namespace
}  // namespace cartsail
