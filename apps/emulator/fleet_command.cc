// cartsail-emulator fleet: compares policies on the virtual fleet, side by side.
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include "cartsail/base/status.h"
#include "flag_types.h"
#include "fleet.h"
#include "subcommands.h"

namespace cartsail::emulator {
namespace {

struct Arguments {
  std::string workload_path;
  std::vector<std::string> policies = {"alone", "full"};
  std::vector<std::string> seeds = {"1", "2", "3"};
  std::vector<std::string> faults;
  double seconds = 120;
  double rate_factor = 1;
  int64_t nodes = 0;
  int64_t engines = 0;
  int64_t zones = 0;
  double headroom = -1;       // below 0: as the policy says
  double preempt_after = -2;  // below -1: as the policy says
  double admission_floor = -1;
  bool detail = false;
  bool cost = false;
};

const FleetPolicy* FindPolicy(const std::string& name) {
  for (const FleetPolicy& policy : KnownPolicies()) {
    if (policy.name == name) return &policy;
  }
  return nullptr;
}

void PrintHeader(bool cost) {
  fmt::print("{:<18}{:>5}{:>9}{:>8}{:>9}{:>8}{:>8}{:>9}{:>8}{:>7}{:>8}{:>8}{:>9}", "policy", "seed",
             "requests", "top", "goodput", "wasted", "lowest", "preempts", "retries", "msg/r",
             "calls", "peak/s", "recovery");
  if (cost) fmt::print("{:>10}{:>11}{:>9}", "us/req", "core/node", "hb/node");
  fmt::print("\n");
}

void PrintRow(const std::string& policy, const std::string& seed, const FleetReport& report,
              bool cost) {
  fmt::print("{:<18}{:>5}{:>9}{:>8.4f}{:>9.2f}{:>8.4f}{:>8}{:>9}{:>8}{:>7.2f}{:>8}{:>8}{:>8.0f}s",
             policy, seed, report.requests, report.top_attainment, report.goodput,
             report.wasted_share, report.lowest_min_window, report.preemptions, report.retries,
             report.per_request_messages, report.platform_calls, report.platform_calls_peak,
             report.recovery_seconds);
  if (cost) {
    fmt::print("{:>10.1f}{:>11.5f}{:>9.1f}", report.decision_micros_per_request,
               report.decision_core_share, report.heartbeats_per_node_second);
  }
  fmt::print("\n");
}

absl::Status Run(const Arguments& arguments) {
  absl::StatusOr<Workload> workload = ReadWorkload(arguments.workload_path);
  if (!workload.ok()) return workload.status();
  if (arguments.nodes > 0) workload->topology.nodes = static_cast<int>(arguments.nodes);
  if (arguments.engines > 0) workload->topology.engines = static_cast<int>(arguments.engines);
  if (arguments.zones > 0) workload->topology.zones = static_cast<int>(arguments.zones);
  FleetOptions options;
  options.seconds = arguments.seconds;
  options.rate_factor = arguments.rate_factor;
  options.measure_cost = arguments.cost;
  for (const std::string& text : arguments.faults) {
    const absl::StatusOr<FleetFault> fault = ParseFault(text);
    if (!fault.ok()) return fault.status();
    options.faults.push_back(*fault);
  }
  PrintHeader(arguments.cost);
  for (const std::string& name : arguments.policies) {
    const FleetPolicy* policy = FindPolicy(name);
    if (policy == nullptr) {
      return MakeError(ErrorKind::kInvalidArgument, "unknown policy " + name);
    }
    options.policy = *policy;
    if (policy->owners) {
      if (arguments.headroom >= 0) options.policy.headroom_limit = arguments.headroom;
      if (arguments.preempt_after > -2) options.policy.preempt_after = arguments.preempt_after;
      if (arguments.admission_floor >= 0) {
        options.policy.admission_floor = arguments.admission_floor;
      }
    }
    for (const std::string& seed : arguments.seeds) {
      options.seed = std::strtoull(seed.c_str(), nullptr, 10);
      const FleetReport report = RunFleet(*workload, options);
      PrintRow(name, seed, report, arguments.cost);
      if (arguments.detail) fmt::print("{}", FormatReport(report.measures));
    }
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status RunFleetCommand(const std::vector<std::string>& words) {
  Arguments arguments;
  FlagSet flags("cartsail-emulator fleet", "Compares policies on the virtual fleet", "EMULATOR_");
  flags.Text("workload", "Workload file", &arguments.workload_path);
  flags.Parsed("compare", "Policies to run", "alone,full", "NAME,NAME,...",
               [&arguments](const std::string& text) {
                 arguments.policies = absl::StrSplit(text, ',', absl::SkipEmpty());
                 return true;
               });
  flags.Parsed("seeds", "Seeds", "1,2,3", "N,N,...", [&arguments](const std::string& text) {
    arguments.seeds = absl::StrSplit(text, ',', absl::SkipEmpty());
    return true;
  });
  AddTextsFlag(flags, "faults", "Faults, each KIND:AT[:SECONDS[:COUNT[:SPEED]]]",
               &arguments.faults);
  flags.Real("seconds", "Seconds of traffic", &arguments.seconds, 1, 1e6);
  flags.Real("rate-factor", "Factor on all rates", &arguments.rate_factor, 1e-3, 1e4);
  flags.Real("headroom", "Headroom limit of owner policies (-1: the policy's own)",
             &arguments.headroom, -1, 0.9);
  flags.Real("preempt-after", "Preemption of owner policies (-2: the policy's own, -1: off)",
             &arguments.preempt_after, -2, 10);
  flags.Real("admission-floor", "Admission floor of owner policies (-1: the policy's own)",
             &arguments.admission_floor, -1, 1);
  flags.Integer("nodes", "Nodes (0: as in the file)", &arguments.nodes, 0, 100000);
  flags.Integer("engines", "Engines (0: as in the file)", &arguments.engines, 0, 100000);
  flags.Integer("zones", "Zones (0: as in the file)", &arguments.zones, 0, 1000);
  const auto boolean = [&flags](const std::string& name, const std::string& help, bool* target) {
    flags.Parsed(name, help, "false", "true or false", [target](const std::string& text) {
      *target = text == "true";
      return text == "true" || text == "false";
    });
  };
  boolean("detail", "Also print every class", &arguments.detail);
  boolean("cost", "Also measure the decision logic's processor time (not reproducible)",
          &arguments.cost);
  bool exit_now = false;
  const absl::Status status = flags.Parse(words, &exit_now);
  if (!status.ok() || exit_now) return status;
  return Run(arguments);
}

}  // namespace cartsail::emulator
