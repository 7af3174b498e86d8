#include "cartsail/duties/usage_record.h"

#include <fmt/format.h>

#include <cstdlib>

#include "cartsail/base/text.h"

namespace cartsail {

std::string UsageRecordKey(WindowNumber window) {
  return fmt::format("{}{}", kUsageRecordPrefix, window);
}

std::optional<WindowNumber> UsageRecordWindow(std::string_view key, WindowNumber first,
                                              WindowNumber last) {
  WindowNumber window = 0;
  if (!ParseInteger(key.substr(kUsageRecordPrefix.size()), &window)) return std::nullopt;
  if (window < first || window > last) return std::nullopt;
  return window;
}

std::string EncodeUsageRecord(const TenantCounts& counts) {
  std::string text;
  for (const auto& [tenant, count] : counts) text += fmt::format("{}={}\n", tenant, count);
  return text;
}

TenantCounts DecodeUsageRecord(std::string_view text) {
  TenantCounts counts;
  for (const std::string_view line : SplitFields(text, '\n')) {
    const size_t equals = line.rfind('=');
    if (equals == std::string_view::npos) continue;
    counts[std::string(line.substr(0, equals))] =
        std::strtoll(std::string(line.substr(equals + 1)).c_str(), nullptr, 10);
  }
  return counts;
}

}  // namespace cartsail
