#include "cartsail/quarantine/shared_parts.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>

#include "cartsail/base/hash.h"

namespace cartsail {
namespace {

// Bounds what one request costs in reports; prompts have a handful of parts.
constexpr size_t kMaxSharedParts = 64;

std::string_view BytesOf(const uint64_t& number) {
  return {reinterpret_cast<const char*>(&number), sizeof(number)};
}

}  // namespace

ServiceKey ServiceKeyOf(std::string_view service) { return Hash64(service); }

PartFingerprint PartFingerprintOf(ServiceKey service, uint64_t part_id) {
  return Hash64(BytesOf(part_id), service);
}

SharedParts SharedPartsOf(std::string_view service, const std::vector<PromptPart>& prompt) {
  SharedParts shared;
  shared.service = ServiceKeyOf(service);
  for (size_t i = 0; i + 1 < prompt.size() && i < kMaxSharedParts; ++i) {
    shared.parts.push_back(PartFingerprintOf(shared.service, prompt[i].id));
  }
  std::sort(shared.parts.begin(), shared.parts.end());
  shared.parts.erase(std::unique(shared.parts.begin(), shared.parts.end()), shared.parts.end());
  return shared;
}

RequestFingerprint GroupFingerprintOf(const std::vector<PartFingerprint>& parts) {
  RequestFingerprint fingerprint = 0;
  for (const PartFingerprint& part : parts) fingerprint = Hash64(BytesOf(part), fingerprint);
  return fingerprint;
}

std::string PartsText(const std::vector<PartFingerprint>& parts) {
  const auto append = [](std::string* text, PartFingerprint part) {
    text->append(FingerprintText(part));
  };
  return absl::StrJoin(parts, ",", append);
}

std::optional<std::vector<PartFingerprint>> ParseParts(std::string_view text) {
  std::vector<PartFingerprint> parts;
  if (text.empty()) return parts;
  for (const absl::string_view piece :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
    PartFingerprint part = 0;
    if (!ParseFingerprint({piece.data(), piece.size()}, &part)) return std::nullopt;
    parts.push_back(part);
  }
  return parts;
}

bool AreAmong(const std::vector<PartFingerprint>& parts, const std::vector<PartFingerprint>& of) {
  return std::includes(of.begin(), of.end(), parts.begin(), parts.end());
}

}  // namespace cartsail
