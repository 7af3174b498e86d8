// cartsailctl duties: who held which duty, the last windows of usage and the last orders of
// engines, from the logs of any number of nodes.
#include <fmt/format.h>

#include "cartsail/operations/duty_history.h"
#include "command.h"

namespace cartsail::ctl {
namespace {

std::string HoldsText(const DutyHistory& history) {
  std::string text = fmt::format("{:<24} {:>8} {:<26} {:<26} {:>5} {}\n", "duty", "token", "taken",
                                 "lost", "acts", "why");
  for (const DutyHold& hold : history.holds) {
    text += fmt::format("{:<24} {:>8} {:<26} {:<26} {:>5} {}\n", hold.duty, hold.token, hold.taken,
                        hold.lost, hold.acts, hold.reason);
  }
  return text;
}

std::string WindowsText(const DutyHistory& history) {
  std::string text = fmt::format("\n{:<12} {:<9} {:>8} {:>9} {:>9} {}\n", "window", "accepted",
                                 "token", "requests", "after_ms", "why");
  for (const WindowHistory& window : history.windows) {
    text += fmt::format("{:<12} {:<9} {:>8} {:>9} {:>9} {}\n", window.window,
                        window.accepted ? "yes" : "no", window.token, window.requests,
                        window.after_ms, window.reason);
  }
  return text;
}

std::string OrdersText(const DutyHistory& history) {
  std::string text =
      fmt::format("\n{:<12} {:<10} {:<12} {:>7} {:>7} {:>8} {:>7} {:>6} {}\n", "service", "zone",
                  "kind", "engines", "wanted", "requests", "orders", "failed", "at");
  for (const OrderHistory& order : history.orders) {
    text += fmt::format("{:<12} {:<10} {:<12} {:>7} {:>7} {:>8} {:>7} {:>6} {}\n", order.service,
                        order.zone, order.kind, order.engines, order.wanted, order.requests,
                        order.orders, order.failed, order.at);
  }
  return text;
}

json::object JsonOf(const DutyHistory& history) {
  json::array holds;
  for (const DutyHold& hold : history.holds) {
    holds.push_back(json::object{{"duty", hold.duty},
                                 {"token", hold.token},
                                 {"taken", hold.taken},
                                 {"lost", hold.lost},
                                 {"why", hold.reason},
                                 {"acts", hold.acts}});
  }
  json::array windows;
  for (const WindowHistory& window : history.windows) {
    windows.push_back(json::object{{"window", window.window},
                                   {"accepted", window.accepted},
                                   {"token", window.token},
                                   {"requests", window.requests},
                                   {"after_ms", window.after_ms},
                                   {"why", window.reason}});
  }
  json::array orders;
  for (const OrderHistory& order : history.orders) {
    orders.push_back(json::object{{"service", order.service},
                                  {"zone", order.zone},
                                  {"kind", order.kind},
                                  {"engines", order.engines},
                                  {"wanted", order.wanted},
                                  {"requests", order.requests},
                                  {"orders", order.orders},
                                  {"failed", order.failed},
                                  {"at", order.at}});
  }
  return json::object{{"holds", holds},
                      {"windows", windows},
                      {"orders", orders},
                      {"late_requests", history.late_requests}};
}

}  // namespace

absl::StatusOr<CommandResult> RunDutiesCommand(const Words& words) {
  if (words.empty()) return Usage("duties LOG...: the log files of the nodes");
  const absl::StatusOr<std::vector<LogLine>> lines = ReadLogs(words);
  if (!lines.ok()) return lines.status();
  const DutyHistory history = AnalyzeDuties(*lines);
  CommandResult result;
  result.text = HoldsText(history) + WindowsText(history) + OrdersText(history);
  result.text +=
      fmt::format("\n{} requests counted after their window was reported\n", history.late_requests);
  result.object = JsonOf(history);
  result.exit_code = history.IsEmpty() ? kExitFailed : kExitOk;
  return result;
}

}  // namespace cartsail::ctl
