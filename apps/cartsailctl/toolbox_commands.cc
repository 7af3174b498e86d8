// cartsailctl check, plan, replay.
#include <fmt/format.h>

#include <fstream>
#include <sstream>

#include "cartsail/net/http_client.h"
#include "cartsail/operations/config_store.h"
#include "cartsail/operations/deployment.h"
#include "cartsail/operations/plan.h"
#include "cartsail/operations/request_log.h"
#include "cartsail/store/etcd_client.h"
#include "command.h"

namespace cartsail::ctl {
namespace {

namespace asio = boost::asio;

constexpr Duration kNodeTimeout = seconds(10);

json::array ToArray(const std::vector<std::string>& lines) {
  json::array array;
  for (const std::string& line : lines) array.emplace_back(line);
  return array;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

CommandResult DescribePlan(const FleetPlan& plan) {
  CommandResult result;
  result.text = fmt::format(
      "capacity {:.0f} tokens/s, {:.0f} without one zone; a token every {:.1f} ms in full "
      "batches\n{:>5}{:>14}{:>12}{:>9}{:>12}{:>10}\n",
      plan.capacity_tokens_per_s, plan.capacity_without_zone, plan.full_batch_interval_ms, "tier",
      "requests/s", "tokens/s", "share", "with above", "at peak");
  json::array tiers;
  for (const TierLoad& tier : plan.tiers) {
    result.text += fmt::format("{:>5}{:>14.1f}{:>12.0f}{:>9.3f}{:>12.3f}{:>10.3f}\n", tier.tier,
                               tier.requests_per_s, tier.tokens_per_s, tier.share,
                               tier.cumulative_share, tier.peak_cumulative_share);
    tiers.push_back(json::object{{"tier", tier.tier},
                                 {"requests_per_s", tier.requests_per_s},
                                 {"tokens_per_s", tier.tokens_per_s},
                                 {"share", tier.share},
                                 {"cumulative_share", tier.cumulative_share},
                                 {"peak_cumulative_share", tier.peak_cumulative_share}});
  }
  result.text += fmt::format(
      "platform, per second: {:.1f} machine list reads, {:.1f} head reads, {:.0f} watches held, "
      "at most {:.0f} claim writes\n"
      "each node, per second: {:.0f} heartbeats ({:.0f} bytes), {:.0f} messages for requests\n",
      plan.machine_list_reads, plan.config_reads, plan.watches, plan.claim_writes,
      plan.heartbeats_per_s, plan.heartbeat_bytes_per_s, plan.request_messages_per_s);
  for (const std::string& warning : plan.warnings) result.text += "warning: " + warning + "\n";
  result.object = json::object{{"capacity_tokens_per_s", plan.capacity_tokens_per_s},
                               {"capacity_without_zone", plan.capacity_without_zone},
                               {"full_batch_interval_ms", plan.full_batch_interval_ms},
                               {"tiers", std::move(tiers)},
                               {"machine_list_reads_per_s", plan.machine_list_reads},
                               {"head_reads_per_s", plan.config_reads},
                               {"watches", plan.watches},
                               {"claim_writes_per_s", plan.claim_writes},
                               {"heartbeats_per_node_s", plan.heartbeats_per_s},
                               {"heartbeat_bytes_per_node_s", plan.heartbeat_bytes_per_s},
                               {"request_messages_per_node_s", plan.request_messages_per_s},
                               {"warnings", ToArray(plan.warnings)}};
  return result;
}

CommandResult DescribeReplay(const ReplayReport& report) {
  CommandResult result;
  result.text = fmt::format("{:<40}{:>9}{:>18}{:>10}{:>24}\n", "class", "requests",
                            "refused (then)", "preempts", "wait p95 ms (then)");
  json::object classes;
  for (const auto& [key, measures] : report.classes) {
    const double then = Percentile(measures.recorded_wait_ms, 0.95);
    const double now = Percentile(measures.replayed_wait_ms, 0.95);
    result.text +=
        fmt::format("{:<40}{:>9}{:>18}{:>10}{:>24}\n", key, measures.requests,
                    fmt::format("{} ({})", measures.replayed_refused, measures.recorded_refused),
                    measures.preempted, fmt::format("{:.1f} ({:.1f})", now, then));
    classes[key] = json::object{{"requests", measures.requests},
                                {"refused", measures.replayed_refused},
                                {"recorded_refused", measures.recorded_refused},
                                {"preempted", measures.preempted},
                                {"wait_ms_p95", now},
                                {"recorded_wait_ms_p95", then}};
  }
  result.object = std::move(classes);
  return result;
}

// The request logs of all nodes, in order of arrival.
asio::awaitable<absl::StatusOr<std::vector<RequestRecord>>> FetchRecords(
    asio::io_context& context, std::vector<Endpoint> nodes) {
  std::vector<RequestRecord> all;
  for (const Endpoint& node : nodes) {
    HttpRequest request;
    request.target = "/requests";
    const absl::StatusOr<HttpResponse> response =
        co_await Fetch(context.get_executor(), node, std::move(request), kNodeTimeout);
    if (!response.ok()) co_return response.status();
    const absl::StatusOr<std::vector<RequestRecord>> records = ParseRequestLog(response->body);
    if (!records.ok()) co_return records.status();
    all.insert(all.end(), records->begin(), records->end());
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const auto& left, const auto& right) { return left.at_ms < right.at_ms; });
  co_return all;
}

}  // namespace

absl::StatusOr<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Usage(fmt::format("cannot read {}", path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

absl::StatusOr<CommandResult> RunCheckCommand(const Words& words) {
  if (words.size() != 1) return Usage("check FILE: a deployment file");
  const absl::StatusOr<std::string> text = ReadWholeFile(words[0]);
  if (!text.ok()) return text.status();
  const absl::StatusOr<json::object> deployment = ParseJsonObject(*text);
  if (!deployment.ok()) return Usage(fmt::format("{}: not a JSON object", words[0]));
  const DeploymentFaults faults = CheckDeployment(*deployment);
  CommandResult result;
  for (const std::string& error : faults.errors) result.text += "error: " + error + "\n";
  for (const std::string& warning : faults.warnings) result.text += "warning: " + warning + "\n";
  if (faults.errors.empty()) result.text += "no errors\n";
  result.object =
      json::object{{"errors", ToArray(faults.errors)}, {"warnings", ToArray(faults.warnings)}};
  result.exit_code = faults.errors.empty() ? kExitOk : kExitFailed;
  return result;
}

absl::StatusOr<CommandResult> RunPlanCommand(const Words& words) {
  if (words.size() != 1) return Usage("plan FILE: a workload file with its topology");
  const absl::StatusOr<std::string> text = ReadWholeFile(words[0]);
  if (!text.ok()) return text.status();
  const absl::StatusOr<Workload> workload = ParseWorkload(*text);
  if (!workload.ok()) return workload.status();
  return DescribePlan(MakePlan(*workload));
}

asio::awaitable<absl::StatusOr<CommandResult>> RunReplayCommand(asio::io_context& context,
                                                                CommandOptions options,
                                                                Words words) {
  if (words.size() > 1) co_return Usage("replay [FILE]: a request log, else that of --nodes");
  absl::StatusOr<std::vector<RequestRecord>> records = std::vector<RequestRecord>();
  if (words.empty()) {
    records = co_await FetchRecords(context, options.nodes);
  } else {
    const absl::StatusOr<std::string> text = ReadWholeFile(words[0]);
    if (!text.ok()) co_return text.status();
    records = ParseRequestLog(*text);
  }
  if (!records.ok()) co_return records.status();
  const std::unique_ptr<KeyValueStore> store =
      MakeEtcdClient(context.get_executor(), {.endpoint = options.platform});
  ConfigStore config(*store);
  const absl::StatusOr<ConfigState> state = co_await config.Read(std::nullopt);
  if (!state.ok()) co_return state.status();
  ReplayOptions replay;
  replay.engines = static_cast<int>(options.engines);
  replay.window = static_cast<int>(options.window);
  co_return DescribeReplay(Replay(*records, state->root, state->tenants, replay));
}

}  // namespace cartsail::ctl
