#include "cartsail/operations/workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "cartsail/base/status.h"

namespace cartsail {
namespace {

Duration Millis(const json::object& object, std::string_view key, Duration fallback) {
  return FromSeconds(GetDouble(object, key, ToMillis(fallback)) / 1e3);
}

Burst ParseBurst(const json::object& object) {
  Burst burst;
  burst.period_seconds = GetDouble(object, "period_s");
  burst.start_seconds = GetDouble(object, "start_s");
  burst.length_seconds = GetDouble(object, "length_s");
  burst.factor = GetDouble(object, "factor", 1);
  return burst;
}

TrafficClass ParseClass(const json::object& object) {
  TrafficClass traffic;
  traffic.name = GetString(object, "name");
  traffic.service = GetString(object, "service", "assistant");
  traffic.tier = static_cast<int>(GetInt(object, "tier", 3));
  traffic.rate = GetDouble(object, "rate", 1);
  if (const json::object* burst = GetObject(object, "burst")) traffic.burst = ParseBurst(*burst);
  traffic.prompt_tokens = static_cast<int>(GetInt(object, "prompt_tokens", 100));
  traffic.shared_prefix_tokens = static_cast<int>(GetInt(object, "shared_prefix_tokens"));
  traffic.prefixes = std::max(1, static_cast<int>(GetInt(object, "prefixes", 1)));
  traffic.output_mean = GetDouble(object, "output_tokens_mean", 40);
  traffic.output_sigma = GetDouble(object, "output_sigma", 0.5);
  traffic.ttft_target = Millis(object, "ttft_target_ms", traffic.ttft_target);
  traffic.interval_target = Millis(object, "interval_target_ms", traffic.interval_target);
  traffic.max_wait = Millis(object, "max_wait_ms", traffic.max_wait);
  traffic.repeatable = GetBool(object, "repeatable", true);
  traffic.stream = GetBool(object, "stream", true);
  return traffic;
}

Topology ParseTopology(const json::object& object) {
  Topology topology;
  topology.zones = static_cast<int>(GetInt(object, "zones", 1));
  topology.nodes = static_cast<int>(GetInt(object, "nodes", 2));
  topology.engines = static_cast<int>(GetInt(object, "engines", 4));
  topology.batch_limit = static_cast<int>(GetInt(object, "batch_limit", 16));
  topology.slow_engine_share = GetDouble(object, "slow_engine_share");
  topology.slow_speed = GetDouble(object, "slow_speed", 0.6);
  topology.zone_latency = Millis(object, "zone_latency_ms", topology.zone_latency);
  topology.base_step = Millis(object, "base_step_ms", topology.base_step);
  topology.per_sequence_step = Millis(object, "sequence_step_ms", topology.per_sequence_step);
  return topology;
}

}  // namespace

double TrafficClass::RateAt(double seconds) const {
  if (burst.period_seconds <= 0 || seconds < burst.start_seconds) return rate;
  const double phase = std::fmod(seconds - burst.start_seconds, burst.period_seconds);
  return phase < burst.length_seconds ? rate * burst.factor : rate;
}

int64_t TrafficClass::DrawOutputTokens(std::mt19937_64& random) const {
  // The mean of a log-normal is exp(mu + sigma^2 / 2).
  const double mu = std::log(output_mean) - output_sigma * output_sigma / 2;
  std::lognormal_distribution<double> length(mu, output_sigma);
  return std::clamp<int64_t>(static_cast<int64_t>(std::llround(length(random))), 1, 8192);
}

absl::StatusOr<Workload> ParseWorkload(const std::string& text) {
  const absl::StatusOr<json::object> object = ParseJsonObject(text);
  if (!object.ok()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "workload: " + std::string(object.status().message()));
  }
  Workload workload;
  workload.name = GetString(*object, "name");
  workload.model = GetString(*object, "model", "model");
  if (const json::object* topology = GetObject(*object, "topology")) {
    workload.topology = ParseTopology(*topology);
  }
  const json::array* classes = GetArray(*object, "classes");
  if (classes == nullptr || classes->empty()) {
    return MakeError(ErrorKind::kInvalidArgument, "workload: no classes");
  }
  for (const json::value& entry : *classes) {
    if (!entry.is_object()) {
      return MakeError(ErrorKind::kInvalidArgument, "workload: a class is an object");
    }
    workload.classes.push_back(ParseClass(entry.as_object()));
    if (workload.classes.back().name.empty()) {
      return MakeError(ErrorKind::kInvalidArgument, "workload: a class needs a name");
    }
  }
  return workload;
}

absl::StatusOr<Workload> ReadWorkload(const std::string& path) {
  const absl::StatusOr<std::string> text = ReadFile(path);
  if (!text.ok()) return text.status();
  return ParseWorkload(*text);
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorKind::kInvalidArgument, fmt::format("cannot read {}", path));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace cartsail
