#include "request/retry_after.h"

#include <absl/strings/numbers.h>
#include <absl/time/time.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace cartsail {
namespace {

constexpr char kHttpDate[] = "%a, %d %b %Y %H:%M:%S GMT";

std::optional<absl::Time> ParseHttpDate(std::string_view text) {
  absl::Time time;
  std::string error;
  if (!absl::ParseTime(kHttpDate, std::string(text), &time, &error)) return std::nullopt;
  return time;
}

// Non-negative seconds; nullopt if `text` is not such a number.
std::optional<double> ParseSeconds(std::string_view text) {
  double value = 0;
  const bool is_number = absl::SimpleAtod(absl::string_view(text.data(), text.size()), &value);
  if (!is_number || !std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

}  // namespace

Duration ParseRetryAfter(std::string_view text, std::string_view date) {
  if (text.empty()) return Duration(0);
  const double longest = ToSeconds(kMaxBackoff);
  const std::optional<double> told = ParseSeconds(text);
  if (told.has_value()) return FromSeconds(std::min(*told, longest));
  const std::optional<absl::Time> until = ParseHttpDate(text);
  const std::optional<absl::Time> from = ParseHttpDate(date);
  if (!until.has_value() || !from.has_value()) return kDefaultBackoff;
  return FromSeconds(std::clamp(absl::ToDoubleSeconds(*until - *from), 0.0, longest));
}

std::string RetryAfterText(Duration wait) {
  const int64_t millis = std::chrono::ceil<milliseconds>(wait).count();
  return fmt::format("{}.{:03}", millis / 1000, millis % 1000);
}

}  // namespace cartsail
