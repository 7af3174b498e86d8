// Schema of the operators' settings: type, unit, range, default, and the levels of the tree at
// which each setting may be set.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cartsail {

enum class SettingType {
  kInteger,
  kBoolean,    // true, false
  kDuration,   // a number and a unit: us, ms, s, m, h
  kFraction,   // 0..1
  kText,       // a name of [a-z0-9._-]; may be empty
  kFractions,  // one fraction per tier, comma-separated
};

// The levels of the tree, as bit flags.
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
  // Inclusive bounds in the type's unit (seconds for durations). For kText, `maximum` limits the
  // length. For kFractions, `minimum` applies to each fraction and `maximum` to their sum.
  double minimum;
  double maximum;
  uint8_t levels;  // SettingLevel flags
  std::string_view help;
};

// Number of service tiers; tier 0 is the highest.
inline constexpr int kTierCount = 6;

// All settings.
std::span<const SettingSpec> SettingSchema();

// The setting named `name`, or nullptr if there is none.
const SettingSpec* FindSetting(std::string_view name);

// Returns kInvalidSetting with the reason if `text` is not a valid value of `spec`.
absl::Status CheckSettingValue(const SettingSpec& spec, std::string_view text);

// Parses a duration such as "250ms" into seconds. Returns false if it is not a duration; a unit is
// required.
bool ParseDurationSeconds(std::string_view text, double* seconds);

// "root", "tenant", "service" or "class".
std::string_view LevelName(SettingLevel level);

}  // namespace cartsail
