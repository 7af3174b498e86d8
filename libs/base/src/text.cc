#include "cartsail/base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <charconv>

namespace cartsail {
namespace {

absl::string_view ToAbseil(std::string_view text) { return {text.data(), text.size()}; }

std::string_view ToStandard(absl::string_view text) { return {text.data(), text.size()}; }

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(ToAbseil(left), ToAbseil(right));
}

bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix) {
  return absl::StartsWithIgnoreCase(ToAbseil(text), ToAbseil(prefix));
}

std::string_view Trimmed(std::string_view text) {
  return ToStandard(absl::StripAsciiWhitespace(ToAbseil(text)));
}

std::vector<std::string_view> SplitFields(std::string_view text, char separator) {
  std::vector<std::string_view> fields;
  while (!text.empty()) {
    const size_t end = text.find(separator);
    const std::string_view field = Trimmed(text.substr(0, end));
    if (!field.empty()) fields.push_back(field);
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return fields;
}

bool ParseInteger(std::string_view text, int64_t* value) {
  return absl::SimpleAtoi(ToAbseil(text), value);
}

bool ParseHexadecimal(std::string_view text, uint64_t* value) {
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, *value, 16);
  return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

}  // namespace cartsail
