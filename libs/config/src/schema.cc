#include "cartsail/config/schema.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <array>

#include "cartsail/base/status.h"

namespace cartsail {
namespace {

constexpr double kSecondsPerDay = 24 * 3600;
constexpr double kMinTierShare = 0.002;
constexpr double kMaxShareSum = 0.5;

constexpr std::array kSchema = {
    SettingSpec{"tier", SettingType::kInteger, "3", 0, kTierCount - 1, kAnyLevel,
                "Service tier; 0 is served first"},
    SettingSpec{"ttft_target", SettingType::kDuration, "1s", 0.001, 600, kAnyLevel,
                "Target for the first token, from arrival"},
    SettingSpec{"token_interval_target", SettingType::kDuration, "100ms", 0.001, 10, kAnyLevel,
                "Target for the mean time between tokens"},
    SettingSpec{"max_wait", SettingType::kDuration, "10s", 0.01, 3600, kAnyLevel,
                "Longest wait for a start; then the request is given up"},
    SettingSpec{"deadline", SettingType::kDuration, "5m", 0.1, kSecondsPerDay, kAnyLevel,
                "Longest time for the whole answer"},
    SettingSpec{"repeatable", SettingType::kBoolean, "true", 0, 1, kAnyLevel,
                "Whether a request may be run again; false needs an Idempotency-Key"},
    SettingSpec{"preemptible", SettingType::kBoolean, "true", 0, 1, kAnyLevel,
                "Whether a repeatable request may be preempted for a higher tier"},
    SettingSpec{"resume_grace", SettingType::kDuration, "10s", 0, 600, kAnyLevel,
                "How long a stream is kept for a caller that lost its connection"},
    SettingSpec{"retry_budget", SettingType::kFraction, "0.1", 0, 1, kAnyLevel,
                "Retries allowed, as a share of first tries"},
    SettingSpec{"rate_limit", SettingType::kInteger, "100000", 1, 1e9, kRootLevel | kTenantLevel,
                "Requests per second of a tenant over the fleet"},
    SettingSpec{"max_in_flight", SettingType::kInteger, "100000", 1, 1e9, kRootLevel | kTenantLevel,
                "Concurrent requests of a tenant over the fleet"},
    SettingSpec{"backend", SettingType::kText, "", 0, 63, kServiceLevel,
                "Group of plain back ends that serve this service; empty for model traffic"},
    SettingSpec{"tier_shares", SettingType::kFractions, "0.02,0.02,0.02,0.02,0.02,0.02",
                kMinTierShare, kMaxShareSum, kRootLevel, "Guaranteed share of starts of each tier"},
    SettingSpec{"headroom_limit", SettingType::kFraction, "0", 0, 0.9, kRootLevel,
                "Largest share of an engine's window kept free for higher tiers"},
    SettingSpec{"queue_limit", SettingType::kInteger, "256", 1, 100000, kRootLevel,
                "Requests that may wait for one engine"},
    SettingSpec{"claim_retention", SettingType::kDuration, "24h", 60, 7 * kSecondsPerDay,
                kRootLevel, "How long an idempotency key is remembered"},
};

std::string_view TypeName(SettingType type) {
  switch (type) {
    case SettingType::kInteger:
      return "an integer";
    case SettingType::kBoolean:
      return "true or false";
    case SettingType::kDuration:
      return "a duration such as 250ms, 10s or 5m";
    case SettingType::kFraction:
      return "a fraction";
    case SettingType::kText:
      return "a name of [a-z0-9._-]";
    case SettingType::kFractions:
      return "one fraction per tier, separated by commas";
  }
  return "";
}

absl::Status WrongTypeError(const SettingSpec& spec, std::string_view text) {
  return MakeError(ErrorKind::kInvalidSetting,
                   fmt::format("{}={}: must be {}", spec.name, text, TypeName(spec.type)));
}

absl::Status CheckRange(const SettingSpec& spec, std::string_view text, double value) {
  if (value >= spec.minimum && value <= spec.maximum) return absl::OkStatus();
  const std::string_view unit = spec.type == SettingType::kDuration ? " seconds" : "";
  return MakeError(ErrorKind::kInvalidSetting,
                   fmt::format("{}={}: must be between {} and {}{}", spec.name, text, spec.minimum,
                               spec.maximum, unit));
}

absl::string_view ToAbseil(std::string_view text) { return {text.data(), text.size()}; }

absl::Status CheckFractions(const SettingSpec& spec, std::string_view text) {
  const std::vector<absl::string_view> parts = absl::StrSplit(ToAbseil(text), ',');
  if (parts.size() != kTierCount) return WrongTypeError(spec, text);
  double sum = 0;
  for (const absl::string_view part : parts) {
    double value = 0;
    if (!absl::SimpleAtod(part, &value)) return WrongTypeError(spec, text);
    if (!(value >= spec.minimum)) {
      return MakeError(ErrorKind::kInvalidSetting,
                       fmt::format("{}={}: every tier needs a share of at least {}", spec.name,
                                   text, spec.minimum));
    }
    sum += value;
  }
  if (sum > spec.maximum) {
    return MakeError(ErrorKind::kInvalidSetting,
                     fmt::format("{}={}: shares add up to {}, at most {} is allowed", spec.name,
                                 text, sum, spec.maximum));
  }
  return absl::OkStatus();
}

bool IsName(std::string_view text) {
  for (const char c : text) {
    const bool allowed =
        (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    if (!allowed) return false;
  }
  return true;
}

}  // namespace

std::span<const SettingSpec> SettingSchema() { return kSchema; }

const SettingSpec* FindSetting(std::string_view name) {
  for (const SettingSpec& spec : kSchema) {
    if (spec.name == name) return &spec;
  }
  return nullptr;
}

absl::Status CheckSettingValue(const SettingSpec& spec, std::string_view text) {
  double number = 0;
  if (text.find_first_of(" \t\r\n") != std::string_view::npos) return WrongTypeError(spec, text);
  switch (spec.type) {
    case SettingType::kInteger: {
      int64_t integer = 0;
      if (!absl::SimpleAtoi(ToAbseil(text), &integer)) return WrongTypeError(spec, text);
      return CheckRange(spec, text, static_cast<double>(integer));
    }
    case SettingType::kBoolean:
      return text == "true" || text == "false" ? absl::OkStatus() : WrongTypeError(spec, text);
    case SettingType::kDuration:
      if (!ParseDurationSeconds(text, &number)) return WrongTypeError(spec, text);
      return CheckRange(spec, text, number);
    case SettingType::kFraction:
      if (!absl::SimpleAtod(ToAbseil(text), &number)) return WrongTypeError(spec, text);
      return CheckRange(spec, text, number);
    case SettingType::kText:
      if (!IsName(text) || static_cast<double>(text.size()) > spec.maximum) {
        return WrongTypeError(spec, text);
      }
      return absl::OkStatus();
    case SettingType::kFractions:
      return CheckFractions(spec, text);
  }
  return WrongTypeError(spec, text);
}

bool ParseDurationSeconds(std::string_view text, double* seconds) {
  struct Unit {
    std::string_view suffix;
    double factor;
  };
  // Longer suffixes come first, because "ms" also ends in "s".
  static constexpr Unit kUnits[] = {{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}};
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) continue;
    const std::string_view number = text.substr(0, text.size() - unit.suffix.size());
    double value = 0;
    // Stricter than absl::SimpleAtod(), which also accepts spaces, "inf" and hexadecimal numbers.
    if (number.empty() || number.find_first_not_of("0123456789.") != std::string_view::npos) {
      return false;
    }
    if (!absl::SimpleAtod(ToAbseil(number), &value)) return false;
    *seconds = value * unit.factor;
    return true;
  }
  return false;
}

std::string_view LevelName(SettingLevel level) {
  switch (level) {
    case kRootLevel:
      return "root";
    case kTenantLevel:
      return "tenant";
    case kServiceLevel:
      return "service";
    default:
      return "class";
  }
}

}  // namespace cartsail
