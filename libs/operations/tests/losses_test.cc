#include "cartsail/operations/losses.h"

#include <string>

#include "testing/criterion.h"

namespace cartsail {
namespace {

LogLine End(const std::string& second, const std::string& request, const std::string& fields) {
  return ParseLogLine("n1", "ts=2026-01-01T00:00:" + second +
                                ".500Z level=info event=request request=" + request + " route=a " +
                                fields);
}

LogLine Attempt(const std::string& request, const std::string& outcome) {
  return ParseLogLine("n1", "ts=2026-01-01T00:00:01.000Z event=attempt request=" + request +
                                " backend=b1 outcome=" + outcome);
}

int64_t CountOf(const LossTable& table, LossCause cause) {
  int64_t requests = 0;
  for (const LossRow& row : table.Totals()) requests += row.cause == cause ? row.requests : 0;
  return requests;
}

Test(losses, each_request_has_one_cause) {
  const std::string goals = " goal_ms=600 pause_goal_ms=200 ";
  const LossTable table = AnalyzeLosses(
      {End("01", "r1", "result=answered first_ms=100 pause_ms=150 ms=900" + goals),
       End("01", "r2", "result=answered first_ms=700 pause_ms=150 ms=900" + goals),
       End("01", "r3", "result=answered first_ms=100 pause_ms=201 ms=900" + goals),
       End("02", "r4", "result=answered first_ms=\"\" pause_ms=0 ms=601 goal_ms=600"),
       End("02", "r5", "result=cut first_ms=100 pause_ms=10 ms=900" + goals), Attempt("r5", "cut"),
       End("02", "r6", "result=cut ms=900" + goals), Attempt("r6", "timed_out"),
       End("02", "r7", "result=backend_failed ms=90" + goals), Attempt("r7", "failed_answer"),
       End("05", "r8", "result=overloaded ms=3" + goals),
       End("05", "r9", "result=caller_gone ms=3" + goals), Attempt("r10", "cut"),
       End("05", "r10", "result=failed_answer status=500 ms=90" + goals)},
      2);
  cr_assert(table.requests == 10 && table.unread_lines == 0);
  cr_assert(CountOf(table, LossCause::kNone) == 1);
  cr_assert(CountOf(table, LossCause::kLateFirstOutput) == 2);
  cr_assert(CountOf(table, LossCause::kPauseBroken) == 1);
  cr_assert(CountOf(table, LossCause::kBackendCut) == 1);
  cr_assert(CountOf(table, LossCause::kSilence) == 1);
  cr_assert(CountOf(table, LossCause::kRepeatedFailure) == 2);
  cr_assert(CountOf(table, LossCause::kNotRun) == 1);
  cr_assert(CountOf(table, LossCause::kCallerGone) == 1);
  int64_t last_window = 0;
  for (const LossRow& row : table.rows) last_window = std::max(last_window, row.window_start_s);
  cr_assert(last_window == 4);
}

Test(losses, rotated_logs_count_once_and_other_lines_are_told) {
  const LogLine end = End("01", "r1", "result=answered ms=5 goal_ms=600");
  const LossTable table = AnalyzeLosses(
      {end, end, ParseLogLine("n", "Segmentation fault"), ParseLogLine("n", ""),
       ParseLogLine("n", "ts=2026-99-01T00:00:01Z event=request request=r2 result=answered")},
      2);
  cr_assert(table.requests == 1);
  cr_assert(table.unread_lines == 3);
  cr_assert(AnalyzeLosses({}, 0).requests == 0);
}

}  // namespace
}  // namespace cartsail
