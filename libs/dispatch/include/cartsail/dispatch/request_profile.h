// What placement needs to know of one request. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail {

// A run of prompt tokens that requests may share. A part is cached only behind the same parts.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

struct RequestProfile {
  std::string service;
  // Back ends of this version only: the request goes on with a stream that one of them began.
  // Empty: any.
  std::string version;
  // Data residency: the request may be served, and what it holds kept, in these regions only, in
  // alphabetical order. Nothing: anywhere. An empty list: nowhere.
  std::optional<std::vector<std::string>> residency;
  int64_t tier = 0;
  Duration first_output_goal = seconds(1);
  bool is_generation = false;  // runs at a model engine; the fields below count
  std::vector<PromptPart> prompt_parts;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // the most that it generates
  std::optional<Duration> longest_pause;
  int64_t bytes_per_token = 0;  // of prompt memory, when it is moved; 0: it cannot be moved
};

}  // namespace cartsail
