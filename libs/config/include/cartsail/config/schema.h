// The settings an operator may give, each with its type, unit, range, default and the levels of
// the tree where it may stand.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cartsail {

enum class SettingType {
  kInteger,
  kBoolean,   // true, false
  kDuration,  // a number and a unit: us, ms, s, m, h
  kFraction,  // 0..1
  kText,
  kFractions,  // one fraction per tier, comma-separated
};

// The levels of the tree, as bits.
enum SettingLevel : uint8_t {
  kRootLevel = 1,
  kTenantLevel = 2,
  kServiceLevel = 4,
  kClassLevel = 8,
  kAnyLevel = 15,
};

struct SettingSpec {
  std::string_view name;
  SettingType type;
  std::string_view default_value;
  double minimum;  // of the number, in the type's unit (seconds for durations)
  double maximum;
  uint8_t levels;
  std::string_view help;
};

// Number of service tiers; tier 0 is the highest.
inline constexpr int kTierCount = 6;

std::span<const SettingSpec> SettingSchema();

// The spec called `name`, or nullptr.
const SettingSpec* FindSetting(std::string_view name);

// kInvalidSetting with the reason when `text` is no value for `spec`.
absl::Status CheckSettingValue(const SettingSpec& spec, std::string_view text);

// Parses a duration such as "250ms" into seconds; false when it is not one.
bool ParseDurationSeconds(std::string_view text, double* seconds);

// "root", "tenant", "service" or "class".
std::string_view LevelName(SettingLevel level);

}  // namespace cartsail
