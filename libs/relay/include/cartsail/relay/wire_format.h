// How callers and back ends spell what the relay reads and writes in HTTP messages. The defaults
// are the product's own names; a deployment with other names gives its own.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/dispatch/request_profile.h"

namespace cartsail {

// Names of headers. Set by callers: request_id, time_left, prompt_parts, token_counts, resumes. Set
// by the relay towards back ends, and taken out of what callers send: tenant, expected_instance,
// urgency, fetch_prefix_from and all of `reserved`. Set by back ends: signature, not_run, leaving,
// rate_limit, brittle; in answers about their health: instance, cold_left.
struct WireNames {
  std::string request_id = "Cartsail-Request-Id";
  std::string time_left = "Cartsail-Time-Left-Ms";  // milliseconds that the sender still waits
  std::string prompt_parts = "Cartsail-Prompt-Parts";
  std::string token_counts = "Cartsail-Token-Counts";
  // Of the request that brought the first event of the stream that this one takes up.
  std::string resumes = "Cartsail-Resumes";
  std::string tenant = "Cartsail-Tenant";
  std::string expected_instance = "Cartsail-Expected-Instance";
  std::string urgency = "Cartsail-Urgency";
  std::string fetch_prefix_from = "Cartsail-Fetch-Prefix-From";
  std::string signature = "Cartsail-Signature";    // on each answer of a back end that ran
  std::string not_run = "Cartsail-Not-Run";        // on answers to requests that were not run
  std::string leaving = "Cartsail-Leaving";        // on each answer of a back end that leaves
  std::string rate_limit = "Cartsail-Rate-Limit";  // requests a second that it takes from all nodes
  std::string brittle = "Cartsail-Brittle";        // requests a second that it bears to turn away
  std::string instance = "Cartsail-Instance";      // who answers
  std::string cold_left = "Cartsail-Cold-Left-Ms";  // milliseconds that it is still slow
  std::vector<std::string> reserved;                // further ones that callers may not set
  std::string ready_path = "/readyz";
  std::string cached_parts_path;  // at engines; empty: they don't tell what they hold
};

// Tokens of the prompt and the most that may be generated.
struct TokenCounts {
  int64_t prompt = 0;
  int64_t output = 0;
};

class WireFormat {
 public:
  explicit WireFormat(WireNames names = {}) : names_(std::move(names)) {}
  virtual ~WireFormat() = default;

  const WireNames& Names() const { return names_; }

  // "ID:TOKENS,ID:TOKENS", ids in hexadecimal; nothing when it is not that.
  virtual std::vector<PromptPart> ParsePromptParts(std::string_view text) const;

  // "PROMPT,OUTPUT"; nothing when it is not that.
  virtual std::optional<TokenCounts> ParseTokenCounts(std::string_view text) const;

  // What an engine answers at `cached_parts_path`: a JSON object with "parts", rows of an id in
  // hexadecimal and tokens. kMalformedRequest when it is not that.
  virtual absl::StatusOr<std::vector<PromptPart>> ParseCachedParts(std::string_view body) const;

  // The value of the urgency header for `tier`.
  virtual std::string FormatUrgency(int64_t tier) const;

 private:
  WireNames names_;
};

// Reads the rows of `field` in a JSON object: an id in hexadecimal at `id_column`, tokens behind
// it. Rows that are not that are left out; kMalformedRequest when there is no such list.
absl::StatusOr<std::vector<PromptPart>> ParsePartRows(std::string_view body, std::string_view field,
                                                      size_t id_column);

}  // namespace cartsail
