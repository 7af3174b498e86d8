#include "cartsail/operations/losses.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <set>
#include <tuple>

namespace cartsail {
namespace {

constexpr std::array<std::string_view, kLossCauses> kNames = {
    "in_time", "late_first_output", "pause_broken", "backend_cut",
    "silence", "repeated_failure",  "not_run",      "caller_gone"};

double NumberOf(std::string_view text) { return std::strtod(std::string(text).c_str(), nullptr); }

int64_t DigitsAt(std::string_view text, size_t position, size_t count) {
  return static_cast<int64_t>(NumberOf(text.substr(position, count)));
}

// Seconds since 1970 of a time stamp like 2026-04-22T05:52:50.112Z; nothing when it is none.
std::optional<int64_t> SecondsOf(std::string_view stamp) {
  constexpr size_t kShortest = 19;
  if (stamp.size() < kShortest || stamp[4] != '-' || stamp[10] != 'T') return std::nullopt;
  const std::chrono::year_month_day date{
      std::chrono::year(static_cast<int>(DigitsAt(stamp, 0, 4))),
      std::chrono::month(static_cast<unsigned>(DigitsAt(stamp, 5, 2))),
      std::chrono::day(static_cast<unsigned>(DigitsAt(stamp, 8, 2)))};
  if (!date.ok()) return std::nullopt;
  const auto days = std::chrono::sys_days(date).time_since_epoch();
  const int64_t day_s = std::chrono::duration_cast<std::chrono::seconds>(days).count();
  return day_s + DigitsAt(stamp, 11, 2) * 3600 + DigitsAt(stamp, 14, 2) * 60 +
         DigitsAt(stamp, 17, 2);
}

// A goal that the line does not name can't be missed.
bool IsOver(const LogLine& end, std::string_view value, std::string_view goal) {
  const std::string_view bound = end.Field(goal);
  return !bound.empty() && NumberOf(end.Field(value)) > NumberOf(bound);
}

LossCause CauseOf(const LogLine& end, const std::string& last_outcome) {
  const std::string_view result = end.Field("result");
  if (result == "answered") {
    const bool is_stream = !end.Field("first_ms").empty();
    if (IsOver(end, is_stream ? "first_ms" : "ms", "goal_ms")) return LossCause::kLateFirstOutput;
    if (is_stream && IsOver(end, "pause_ms", "pause_goal_ms")) return LossCause::kPauseBroken;
    return LossCause::kNone;
  }
  if (result == "failed_answer") return LossCause::kRepeatedFailure;
  if (result == "caller_gone") return LossCause::kCallerGone;
  const bool silent = last_outcome == "silent" || last_outcome == "timed_out";
  if (result == "timeout" || (result == "cut" && silent)) return LossCause::kSilence;
  if (result == "cut") return LossCause::kBackendCut;
  if (result == "backend_failed") {
    return last_outcome == "cut" ? LossCause::kBackendCut : LossCause::kRepeatedFailure;
  }
  return LossCause::kNotRun;
}

using RowKey = std::tuple<std::string, int64_t, LossCause>;

std::vector<LossRow> RowsOf(const std::map<RowKey, int64_t>& counts) {
  std::vector<LossRow> rows;
  for (const auto& [key, requests] : counts) {
    rows.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), requests});
  }
  return rows;
}

}  // namespace

std::string_view LossCauseName(LossCause cause) { return kNames[static_cast<size_t>(cause)]; }

std::vector<LossRow> LossTable::Totals() const {
  std::map<RowKey, int64_t> counts;
  for (const LossRow& row : rows) counts[{row.route, 0, row.cause}] += row.requests;
  return RowsOf(counts);
}

LossTable AnalyzeLosses(const std::vector<LogLine>& lines, int64_t window_s) {
  LossTable table;
  std::map<std::string, std::string, std::less<>> outcomes;  // of the last attempt, by request
  std::optional<int64_t> first_s;
  for (const LogLine& line : lines) {
    const std::optional<int64_t> at = SecondsOf(line.Field("ts"));
    if (line.event.empty() || !at.has_value()) {
      ++table.unread_lines;
      continue;
    }
    first_s = std::min(first_s.value_or(*at), *at);
    if (line.event != "attempt") continue;
    outcomes[std::string(line.Field("request"))] = std::string(line.Field("outcome"));
  }
  std::map<RowKey, int64_t> counts;
  std::set<std::pair<std::string, std::string>> seen;  // request and time: rotated logs overlap
  const int64_t window = std::max<int64_t>(window_s, 1);
  for (const LogLine& line : lines) {
    const std::optional<int64_t> at = SecondsOf(line.Field("ts"));
    if (line.event != "request" || !at.has_value()) continue;
    const std::string request(line.Field("request"));
    if (!seen.emplace(request, std::string(line.Field("ts"))).second) continue;
    const auto outcome = outcomes.find(request);
    const LossCause cause = CauseOf(line, outcome == outcomes.end() ? "" : outcome->second);
    const int64_t start = (*at - *first_s) / window * window;
    ++counts[{std::string(line.Field("route")), start, cause}];
    ++table.requests;
  }
  table.rows = RowsOf(counts);
  return table;
}

}  // namespace cartsail
