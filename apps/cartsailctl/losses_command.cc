// cartsailctl losses: where requests missed their goals, from the logs of any number of nodes.
#include <fmt/format.h>

#include <map>

#include "cartsail/base/text.h"
#include "cartsail/operations/losses.h"
#include "command.h"

namespace cartsail::ctl {
namespace {

constexpr int64_t kDefaultWindowSeconds = 2;  // as the users' own tables

std::string Share(int64_t part, int64_t whole) {
  return fmt::format(
      "{:.1f}%", whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole));
}

json::array JsonOf(const std::vector<LossRow>& rows) {
  json::array array;
  for (const LossRow& row : rows) {
    array.push_back(json::object{{"route", row.route},
                                 {"window_start_s", row.window_start_s},
                                 {"cause", LossCauseName(row.cause)},
                                 {"requests", row.requests}});
  }
  return array;
}

// A line for each route and cause, with its share of the route's requests.
std::string TotalsText(const LossTable& table) {
  const std::vector<LossRow> totals = table.Totals();
  std::map<std::string, int64_t> asked;
  for (const LossRow& row : totals) asked[row.route] += row.requests;
  std::string text = fmt::format("{:<16} {:<18} {:>8} {:>7}\n", "route", "cause", "requests", "");
  for (const LossRow& row : totals) {
    text += fmt::format("{:<16} {:<18} {:>8} {:>7}\n", row.route, LossCauseName(row.cause),
                        row.requests, Share(row.requests, asked[row.route]));
  }
  return text;
}

// A line for each window: requests, and losses by cause over all routes.
std::string WindowsText(const LossTable& table) {
  std::map<int64_t, std::map<LossCause, int64_t>> windows;
  for (const LossRow& row : table.rows) windows[row.window_start_s][row.cause] += row.requests;
  std::string text = "\nfrom second  requests  missed\n";
  for (const auto& [start, causes] : windows) {
    int64_t requests = 0;
    std::string losses;
    for (const auto& [cause, count] : causes) {
      requests += count;
      if (cause != LossCause::kNone) losses += fmt::format(" {}={}", LossCauseName(cause), count);
    }
    text += fmt::format("{:>11}  {:>8} {}\n", start, requests, losses);
  }
  return text;
}

CommandResult DescribeLosses(const LossTable& table) {
  CommandResult result;
  result.text = TotalsText(table) + WindowsText(table);
  result.text += fmt::format("\n{} requests; {} lines that no node wrote\n", table.requests,
                             table.unread_lines);
  result.object = json::object{{"rows", JsonOf(table.rows)},
                               {"totals", JsonOf(table.Totals())},
                               {"requests", table.requests},
                               {"unread_lines", table.unread_lines}};
  result.exit_code = table.requests == 0 ? kExitFailed : kExitOk;
  return result;
}

}  // namespace

absl::StatusOr<CommandResult> RunLossesCommand(const Words& words) {
  if (words.empty()) return Usage("losses LOG...: the log files of the nodes");
  const absl::StatusOr<std::vector<LogLine>> lines = ReadLogs(words);
  if (!lines.ok()) return lines.status();
  return DescribeLosses(AnalyzeLosses(*lines, kDefaultWindowSeconds));
}

}  // namespace cartsail::ctl
