// Names and formats of what the relay reads and writes in HTTP messages of callers and back ends.
// The defaults are the product's own names; a deployment may supply others.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/dispatch/request_profile.h"

namespace cartsail {

// Header names and paths. Callers set request_id, time_left, prompt_parts, token_counts and
// resumes. The relay sets tenant, expected_instance, urgency and fetch_prefix_from towards back
// ends, and removes them and all of `reserved` from callers' requests. Back ends set signature,
// not_run, leaving, rate_limit and brittle; in answers at their health path also instance and
// cold_left.
struct WireNames {
  std::string request_id = "Cartsail-Request-Id";
  std::string time_left = "Cartsail-Time-Left-Ms";  // time that the sender still waits, in ms
  std::string prompt_parts = "Cartsail-Prompt-Parts";
  std::string token_counts = "Cartsail-Token-Counts";
  // Id of the request that started the stream to resume.
  std::string resumes = "Cartsail-Resumes";
  std::string tenant = "Cartsail-Tenant";
  std::string expected_instance = "Cartsail-Expected-Instance";
  std::string urgency = "Cartsail-Urgency";
  std::string fetch_prefix_from = "Cartsail-Fetch-Prefix-From";
  std::string signature = "Cartsail-Signature";  // on each answer to a request that was run
  std::string not_run = "Cartsail-Not-Run";      // on each answer to a request that was not run
  std::string leaving = "Cartsail-Leaving";  // on each answer of a back end that is shutting down
  std::string rate_limit = "Cartsail-Rate-Limit";   // requests per second accepted from all nodes
  std::string brittle = "Cartsail-Brittle";         // rejections per second that it can sustain
  std::string instance = "Cartsail-Instance";       // id of the answering back end
  std::string cold_left = "Cartsail-Cold-Left-Ms";  // remaining warm-up time, in ms
  std::vector<std::string> reserved;                // further headers that callers may not set
  std::string ready_path = "/readyz";
  std::string cached_parts_path;  // of engines; empty: engines do not list their caches
};

// Tokens of the prompt, and the upper bound of the tokens to generate.
struct TokenCounts {
  int64_t prompt = 0;
  int64_t output = 0;
};

class WireFormat {
 public:
  explicit WireFormat(WireNames names = {}) : names_(std::move(names)) {}
  virtual ~WireFormat() = default;

  const WireNames& Names() const { return names_; }

  // Parses "ID:TOKENS,ID:TOKENS", ids in hexadecimal; empty if `text` is malformed.
  virtual std::vector<PromptPart> ParsePromptParts(std::string_view text) const;

  // Parses "PROMPT,OUTPUT"; nullopt if `text` is malformed.
  virtual std::optional<TokenCounts> ParseTokenCounts(std::string_view text) const;

  // Parses an engine's answer at `cached_parts_path`: a JSON object with "parts", an array of rows
  // of an id in hexadecimal and a number of tokens. Fails with kMalformedRequest without that
  // array.
  virtual absl::StatusOr<std::vector<PromptPart>> ParseCachedParts(std::string_view body) const;

  // Returns the value of the urgency header for `tier`.
  virtual std::string FormatUrgency(int64_t tier) const;

 private:
  WireNames names_;
};

// Parses the rows of the array `field` in a JSON object: an id in hexadecimal at `id_column`,
// followed by a number of tokens. Malformed rows are skipped. Fails with kMalformedRequest without
// such an array.
absl::StatusOr<std::vector<PromptPart>> ParsePartRows(std::string_view body, std::string_view field,
                                                      size_t id_column);

}  // namespace cartsail
