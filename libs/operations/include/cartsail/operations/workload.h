// A workload file: the classes of traffic, their rates and bursts, and the machines. Read by
// `cartsailctl plan` and by the emulator's load, virtual fleet and scenarios.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/json.h"

namespace cartsail {

struct Burst {
  double period_seconds = 0;  // 0: no bursts
  double start_seconds = 0;   // of the first burst
  double length_seconds = 0;
  double factor = 1;  // of the rate during a burst
};

struct TrafficClass {
  std::string name;     // of the class in the tree
  std::string service;  // of the service in the tree
  int tier = 0;         // as in the tree; reports are by class
  double rate = 1;      // requests per second over the fleet
  Burst burst;
  int prompt_tokens = 100;
  int shared_prefix_tokens = 0;
  int prefixes = 1;  // number of different shared prefixes
  double output_mean = 40;
  double output_sigma = 0.5;  // of the logarithm
  Duration ttft_target = seconds(1);
  Duration interval_target = milliseconds(100);
  Duration max_wait = seconds(10);
  bool repeatable = true;
  bool stream = true;

  // Requests per second at `seconds` into the run.
  double RateAt(double seconds) const;
  int64_t DrawOutputTokens(std::mt19937_64& random) const;
};

// The machines before which the traffic comes.
struct Topology {
  int zones = 1;
  int nodes = 2;
  int engines = 4;
  int batch_limit = 16;
  double slow_engine_share = 0;  // of the engines, at `slow_speed`
  double slow_speed = 0.6;
  Duration zone_latency = std::chrono::microseconds(500);
  // Decode step of an engine: base plus a part per sequence in the batch.
  Duration base_step = milliseconds(10);
  Duration per_sequence_step = std::chrono::microseconds(500);
};

struct Workload {
  std::string name;
  std::string model;
  Topology topology;
  std::vector<TrafficClass> classes;
};

// kInvalidArgument names what is wrong.
absl::StatusOr<Workload> ParseWorkload(const std::string& text);
absl::StatusOr<Workload> ReadWorkload(const std::string& path);

// A file's content; kInvalidArgument when it cannot be read.
absl::StatusOr<std::string> ReadFile(const std::string& path);

}  // namespace cartsail
