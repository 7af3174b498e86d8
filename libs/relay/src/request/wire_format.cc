#include "cartsail/relay/wire_format.h"

#include <algorithm>

#include "cartsail/base/json.h"
#include "cartsail/base/status.h"
#include "cartsail/base/text.h"

namespace cartsail {
namespace {

constexpr int64_t kLowestUrgency = 9;

// Splits at the first `separator`; without one the second part is empty.
std::pair<std::string_view, std::string_view> SplitOnce(std::string_view text, char separator) {
  const size_t at = text.find(separator);
  if (at == std::string_view::npos) return {text, {}};
  return {Trimmed(text.substr(0, at)), Trimmed(text.substr(at + 1))};
}

}  // namespace

std::vector<PromptPart> WireFormat::ParsePromptParts(std::string_view text) const {
  std::vector<PromptPart> parts;
  for (const std::string_view field : SplitFields(text, ',')) {
    const auto [id, tokens] = SplitOnce(field, ':');
    PromptPart part;
    if (!ParseHexadecimal(id, &part.id)) return {};
    if (!ParseInteger(tokens, &part.tokens) || part.tokens < 0) return {};
    parts.push_back(part);
  }
  return parts;
}

std::optional<TokenCounts> WireFormat::ParseTokenCounts(std::string_view text) const {
  const auto [prompt, output] = SplitOnce(text, ',');
  TokenCounts counts;
  if (!ParseInteger(prompt, &counts.prompt) || counts.prompt < 0) return std::nullopt;
  if (!ParseInteger(output, &counts.output) || counts.output < 0) return std::nullopt;
  return counts;
}

absl::StatusOr<std::vector<PromptPart>> WireFormat::ParseCachedParts(std::string_view body) const {
  return ParsePartRows(body, "parts", 0);
}

absl::StatusOr<std::vector<PromptPart>> ParsePartRows(std::string_view body, std::string_view field,
                                                      size_t id_column) {
  boost::system::error_code error;
  const json::value value = json::parse({body.data(), body.size()}, error);
  const json::array* rows =
      error || !value.is_object() ? nullptr : GetArray(value.as_object(), field);
  if (rows == nullptr) {
    return MakeError(
        ErrorKind::kMalformedRequest,
        "cached prompt parts: not a JSON object with an array '" + std::string(field) + "'");
  }
  std::vector<PromptPart> parts;
  for (const json::value& row : *rows) {
    if (!row.is_array() || row.as_array().size() < id_column + 2) continue;
    const json::array& columns = row.as_array();
    PromptPart part;
    const json::string* id = columns[id_column].if_string();
    if (id == nullptr || !ParseHexadecimal({id->data(), id->size()}, &part.id)) continue;
    part.tokens = columns[id_column + 1].is_int64() ? columns[id_column + 1].as_int64() : 0;
    if (part.tokens > 0) parts.push_back(part);
  }
  return parts;
}

std::string WireFormat::FormatUrgency(int64_t tier) const {
  return std::to_string(std::clamp<int64_t>(tier, 0, kLowestUrgency));
}

}  // namespace cartsail
