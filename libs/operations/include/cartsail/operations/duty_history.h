// Who held which duty, what was reported and what was ordered, from the logs of any number of
// nodes. Reads partial and rotated logs. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cartsail/operations/trace.h"

namespace cartsail {

// One node's hold of a duty.
struct DutyHold {
  std::string duty;  // key of its record in the store
  std::string token;
  std::string taken;   // time stamps
  std::string lost;    // empty: not in these logs
  std::string reason;  // why it was lost
  int64_t acts = 0;    // reports accepted, or orders given, under this token
};

// The last that is known of a window's usage.
struct WindowHistory {
  std::string window;
  bool accepted = false;
  std::string token;
  std::string requests;
  std::string after_ms;  // from the window's end
  std::string reason;    // why it was not reported
};

// The last order for engines of one kind in one zone.
struct OrderHistory {
  std::string service;
  std::string zone;
  std::string kind;
  std::string engines;
  std::string at;
  std::string requests;  // at the engines, when it was given
  std::string wanted;    // in all zones
  int64_t orders = 0;    // of this kind there
  int64_t failed = 0;
};

struct DutyHistory {
  std::vector<DutyHold> holds;         // by the time they were taken
  std::vector<WindowHistory> windows;  // by number
  std::vector<OrderHistory> orders;    // by service, zone and kind
  int64_t late_requests = 0;           // counted after their window was reported

  bool IsEmpty() const { return holds.empty() && windows.empty() && orders.empty(); }
};

// Each line counts once however often it is given.
DutyHistory AnalyzeDuties(const std::vector<LogLine>& lines);

}  // namespace cartsail
