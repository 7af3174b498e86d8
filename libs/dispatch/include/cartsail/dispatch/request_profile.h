// The properties of a request that placement uses. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// A run of prompt tokens that several requests may have in common. A part is cached only after the
// same preceding parts.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

struct RequestProfile {
  std::string service;
  // The request resumes a stream and may only go to back ends of this version, which began it.
  // Empty: any version.
  std::string version;
  // Data residency: the regions in which the request may be served and its data kept, in
  // alphabetical order. Nothing: anywhere. An empty list: nowhere.
  std::optional<std::vector<std::string>> residency;
  int64_t tier = 0;
  Duration first_output_goal = seconds(1);
  bool is_generation = false;  // runs at a model engine; the fields below apply
  std::vector<PromptPart> prompt_parts;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // maximum number of generated tokens
  std::optional<Duration> longest_pause;
  int64_t bytes_per_token = 0;  // size of the KV cache; 0: it cannot be transferred
};

}  // namespace cartsail
