// Where requests missed their goals, from the logs of any number of nodes: by route, window of time
// and cause. Reads partial and rotated logs and counts the lines that are none. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/operations/trace.h"

namespace cartsail {

// Why a request missed its goal. The order is that of the tables.
enum class LossCause {
  kNone,             // answered in time
  kLateFirstOutput,  // answered; the first output came after the route's goal
  kPauseBroken,      // answered; a pause was over the route's longest one
  kBackendCut,       // the back end broke off
  kSilence,          // nothing came from the back end, or too late
  kRepeatedFailure,  // the back ends answered with failures
  kNotRun,           // refused: no back end ran it
  kCallerGone,       // the caller left first
};

inline constexpr size_t kLossCauses = 8;  // the number of them

std::string_view LossCauseName(LossCause cause);

// Requests of one route in one window that share a cause.
struct LossRow {
  std::string route;
  int64_t window_start_s = 0;  // seconds since the first line
  LossCause cause = LossCause::kNone;
  int64_t requests = 0;
};

struct LossTable {
  std::vector<LossRow> rows;  // by route, window and cause; those in time included
  int64_t requests = 0;
  int64_t unread_lines = 0;  // that are no lines of a node

  // Requests by route and cause over all windows.
  std::vector<LossRow> Totals() const;
};

// `window_s`: length of a window in seconds, at least 1. Each line counts once however often it is
// given.
LossTable AnalyzeLosses(const std::vector<LogLine>& lines, int64_t window_s);

}  // namespace cartsail
