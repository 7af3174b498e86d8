#include "cartsail/operations/duty_history.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <tuple>

namespace cartsail {
namespace {

constexpr std::string_view kUsageDuty = "cartsail/duty/usage";
constexpr std::string_view kEnginesDuty = "cartsail/duty/engines";

using HoldKey = std::pair<std::string, std::string>;  // duty and token
using LineKey = std::tuple<std::string, std::string, std::string>;

std::string Text(const LogLine& line, std::string_view field) {
  return std::string(line.Field(field));
}

class Analysis {
 public:
  void Add(const LogLine& line) {
    if (line.event == "duty_taken") AddTaken(line);
    if (line.event == "duty_lost") lost_.push_back(line);
    if (line.event == "usage_reported") AddReported(line);
    if (line.event == "usage_not_reported") AddNotReported(line);
    if (line.event == "usage_late")
      history_.late_requests += std::atoll(Text(line, "requests").c_str());
    if (line.event == "engines_ordered") AddOrder(line);
    if (line.event == "engine_order_failed") ++OrderOf(line).failed;
  }

  DutyHistory Finish() {
    for (auto& [key, hold] : holds_) history_.holds.push_back(hold);
    std::sort(history_.holds.begin(), history_.holds.end(),
              [](const DutyHold& a, const DutyHold& b) { return a.taken < b.taken; });
    for (const LogLine& line : lost_) NoteLost(line);
    for (const auto& [number, window] : windows_) history_.windows.push_back(window);
    for (const auto& [key, order] : orders_) history_.orders.push_back(order);
    return history_;
  }

 private:
  DutyHold& HoldOf(std::string_view duty, const std::string& token) {
    DutyHold& hold = holds_[{std::string(duty), token}];
    hold.duty = duty;
    hold.token = token;
    return hold;
  }

  void AddTaken(const LogLine& line) {
    HoldOf(line.Field("duty"), Text(line, "token")).taken = Text(line, "ts");
  }

  // The hold of that duty that was taken last before.
  void NoteLost(const LogLine& line) {
    DutyHold* latest = nullptr;
    for (DutyHold& hold : history_.holds) {
      const bool is_earlier = hold.taken <= line.Field("ts");
      if (hold.duty == line.Field("duty") && is_earlier && hold.lost.empty()) latest = &hold;
    }
    if (latest == nullptr) return;
    latest->lost = Text(line, "ts");
    latest->reason = Text(line, "why");
  }

  void AddReported(const LogLine& line) {
    WindowHistory& window = windows_[std::atoll(Text(line, "window").c_str())];
    window.window = Text(line, "window");
    window.accepted = window.accepted || line.Field("accepted") == "true";
    window.token = Text(line, "token");
    window.requests = Text(line, "requests");
    window.after_ms = Text(line, "after_ms");
    if (line.Field("accepted") == "true") ++HoldOf(kUsageDuty, window.token).acts;
  }

  void AddNotReported(const LogLine& line) {
    WindowHistory& window = windows_[std::atoll(Text(line, "window").c_str())];
    window.window = Text(line, "window");
    window.reason = Text(line, "why");
  }

  OrderHistory& OrderOf(const LogLine& line) {
    OrderHistory& order = orders_[{Text(line, "service"), Text(line, "zone"), Text(line, "kind")}];
    order.service = Text(line, "service");
    order.zone = Text(line, "zone");
    order.kind = Text(line, "kind");
    return order;
  }

  void AddOrder(const LogLine& line) {
    OrderHistory& order = OrderOf(line);
    ++order.orders;
    ++HoldOf(kEnginesDuty, Text(line, "token")).acts;
    if (line.Field("ts") < order.at) return;
    order.at = Text(line, "ts");
    order.engines = Text(line, "engines");
    order.requests = Text(line, "requests");
    order.wanted = Text(line, "wanted");
  }

  DutyHistory history_;
  std::map<HoldKey, DutyHold> holds_;
  std::vector<LogLine> lost_;
  std::map<int64_t, WindowHistory> windows_;
  std::map<LineKey, OrderHistory> orders_;
};

}  // namespace

DutyHistory AnalyzeDuties(const std::vector<LogLine>& lines) {
  Analysis analysis;
  std::set<std::string> seen;  // rotated logs overlap
  for (const LogLine& line : lines) {
    if (line.event.empty()) continue;
    std::string key;
    for (const auto& [name, value] : line.fields) key += name + "=" + value + " ";
    if (seen.insert(key).second) analysis.Add(line);
  }
  return analysis.Finish();
}

}  // namespace cartsail
