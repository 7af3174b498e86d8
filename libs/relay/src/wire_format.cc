#include "cartsail/relay/wire_format.h"

#include <algorithm>

#include "cartsail/base/text.h"

namespace cartsail {
namespace {

constexpr int64_t kLeastUrgent = 9;

// The two sides of the first `separator`; the second is empty where there is none.
std::pair<std::string_view, std::string_view> Halves(std::string_view text, char separator) {
  const size_t at = text.find(separator);
  if (at == std::string_view::npos) return {text, {}};
  return {Trimmed(text.substr(0, at)), Trimmed(text.substr(at + 1))};
}

}  // namespace

std::vector<PromptPart> WireFormat::ParsePromptParts(std::string_view text) const {
  std::vector<PromptPart> parts;
  for (const std::string_view field : SplitFields(text, ',')) {
    const auto [id, tokens] = Halves(field, ':');
    PromptPart part;
    if (!ParseHexadecimal(id, &part.id)) return {};
    if (!ParseInteger(tokens, &part.tokens) || part.tokens < 0) return {};
    parts.push_back(part);
  }
  return parts;
}

std::optional<TokenCounts> WireFormat::ParseTokenCounts(std::string_view text) const {
  const auto [prompt, output] = Halves(text, ',');
  TokenCounts counts;
  if (!ParseInteger(prompt, &counts.prompt) || counts.prompt < 0) return std::nullopt;
  if (!ParseInteger(output, &counts.output) || counts.output < 0) return std::nullopt;
  return counts;
}

std::string WireFormat::FormatUrgency(int64_t tier) const {
  return std::to_string(std::clamp<int64_t>(tier, 0, kLeastUrgent));
}

}  // namespace cartsail
