// The recent requests of a node, kept in memory and served on its admin port, and their replay
// through the scheduler under another tree.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/json.h"
#include "cartsail/config/policy.h"

namespace cartsail {

// One request for a slot and how it ended. Neither prompts nor keys are recorded.
struct RequestRecord {
  double at_ms = 0;  // since the node's start
  std::string tenant;
  std::string service;
  std::string class_name;
  std::string model;
  int tier = 0;
  bool granted = false;
  double wait_ms = 0;     // until granted or refused
  double service_ms = 0;  // from grant to release; 0 when refused
  std::string refusal;    // error kind when refused
};

json::object EncodeRecord(const RequestRecord& record);
RequestRecord DecodeRecord(const json::object& object);

// One JSON object per line, oldest first.
std::string FormatRequestLog(const std::vector<RequestRecord>& records);
// kMalformedRequest names the line that does not parse.
absl::StatusOr<std::vector<RequestRecord>> ParseRequestLog(std::string_view text);

// The last `capacity` records. One thread.
class RequestLog {
 public:
  explicit RequestLog(size_t capacity) : capacity_(capacity) {}

  void Add(RequestRecord record);
  // Oldest first.
  std::vector<RequestRecord> Records() const;

 private:
  size_t capacity_;
  size_t next_ = 0;  // where the next record goes once the log is full
  std::vector<RequestRecord> records_;
};

struct ReplayOptions {
  int engines = 1;  // per model
  int window = 16;
  uint64_t seed = 1;
};

struct ReplayClass {
  int64_t requests = 0;
  int64_t recorded_refused = 0;
  int64_t replayed_refused = 0;
  int64_t preempted = 0;
  std::vector<double> recorded_wait_ms;
  std::vector<double> replayed_wait_ms;
};

struct ReplayReport {
  std::map<std::string, ReplayClass> classes;  // by "tenant/service/class"
};

// Runs the recorded arrivals through the scheduler with the recorded service times. A class that
// the tree still has takes its policy from there, another keeps the recorded tier and defaults.
ReplayReport Replay(const std::vector<RequestRecord>& records, const Branch& root,
                    const std::map<std::string, Branch>& tenants, const ReplayOptions& options);

}  // namespace cartsail
