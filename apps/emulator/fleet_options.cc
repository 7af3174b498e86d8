// The policies that runs compare, and faults as written on the command line.
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

#include "cartsail/base/status.h"
#include "fleet.h"

namespace cartsail::emulator {

const std::vector<FleetPolicy>& KnownPolicies() {
  static const std::vector<FleetPolicy> policies = {
      {.name = "alone",
       .owners = false,
       .headroom_limit = 0,
       .preempt_after = -1,
       .prefix_affinity = false,
       .continuation = false,
       .retry_ratio = -1},
      {.name = "alone-impatient",
       .owners = false,
       .continuation = false,
       .retry_ratio = -1,
       .impatient = true},
      {.name = "alone-impatient-budget",
       .owners = false,
       .continuation = false,
       .retry_ratio = 0.1,
       .impatient = true},
      {.name = "owner", .preempt_after = -1, .prefix_affinity = false},
      {.name = "owner-headroom",
       .headroom_limit = 0.25,
       .preempt_after = -1,
       .prefix_affinity = false},
      {.name = "owner-preempt", .prefix_affinity = false},
      {.name = "owner-both", .headroom_limit = 0.25, .prefix_affinity = false},
      {.name = "full"},
      {.name = "full-fixed-window", .adapt_window = false},
      {.name = "full-restart", .continuation = false},
      {.name = "full-no-budget", .retry_ratio = -1},
  };
  return policies;
}

absl::StatusOr<FleetFault> ParseFault(const std::string& text) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "engine-crash", "engine-slow", "node-kill", "zone-cut", "restart-all", "platform-out"};
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  FleetFault fault;
  const auto name = std::find(kNames.begin(), kNames.end(), parts[0]);
  if (name == kNames.end() || parts.size() < 2 || parts.size() > 5) {
    return MakeError(ErrorKind::kInvalidArgument,
                     text + ": a fault is KIND:AT[:SECONDS[:COUNT[:SPEED]]]");
  }
  fault.kind = static_cast<FleetFault::Kind>(name - kNames.begin());
  bool numbers = absl::SimpleAtod(parts[1], &fault.at);
  if (parts.size() > 2) numbers = numbers && absl::SimpleAtod(parts[2], &fault.seconds);
  if (parts.size() > 3) numbers = numbers && absl::SimpleAtoi(parts[3], &fault.count);
  if (parts.size() > 4) numbers = numbers && absl::SimpleAtod(parts[4], &fault.speed);
  if (!numbers) return MakeError(ErrorKind::kInvalidArgument, text + ": not a number");
  return fault;
}

}  // namespace cartsail::emulator
