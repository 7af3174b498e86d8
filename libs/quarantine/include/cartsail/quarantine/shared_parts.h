// The prompt parts that a request may share with other requests. A part that crashes back ends is
// quarantined whatever else a request with it holds. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/dispatch/request_profile.h"
#include "cartsail/quarantine/request_fingerprint.h"

namespace cartsail {

// Identifies a service. The same on all nodes.
using ServiceKey = uint64_t;

// Identifies a prompt part within a service. The same on all nodes.
using PartFingerprint = uint64_t;

struct SharedParts {
  ServiceKey service = 0;
  std::vector<PartFingerprint> parts;  // in ascending order, without repetitions

  bool operator==(const SharedParts& other) const = default;
};

// What a request may be quarantined for: its whole content, or parts of its prompt.
struct RequestTraits {
  RequestFingerprint request = 0;
  SharedParts shared;
};

ServiceKey ServiceKeyOf(std::string_view service);

PartFingerprint PartFingerprintOf(ServiceKey service, uint64_t part_id);

// All parts but the last one, which belongs to the request itself or to its session; of very long
// lists the first ones.
SharedParts SharedPartsOf(std::string_view service, const std::vector<PromptPart>& prompt);

// Identifies the quarantine of all requests that have each of `parts` (in ascending order).
RequestFingerprint GroupFingerprintOf(const std::vector<PartFingerprint>& parts);

// Fingerprints in the format of FingerprintText(), joined by commas.
std::string PartsText(const std::vector<PartFingerprint>& parts);

// Parses the format of PartsText(). nullopt if `text` is malformed.
std::optional<std::vector<PartFingerprint>> ParseParts(std::string_view text);

// True if each of `parts` is among `of`; both in ascending order.
bool AreAmong(const std::vector<PartFingerprint>& parts, const std::vector<PartFingerprint>& of);

}  // namespace cartsail
