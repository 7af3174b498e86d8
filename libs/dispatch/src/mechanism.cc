#include "cartsail/dispatch/mechanism.h"

#include <fmt/format.h>

#include <array>

#include "cartsail/base/status.h"
#include "cartsail/base/text.h"

namespace cartsail {
namespace {

// In the order of the enumeration.
constexpr std::array<std::string_view, kMechanisms> kNames = {
    "prefix_affinity", "memory_moves",     "reading_pause",  "stream_risk",
    "future_breaks",   "division",         "pace",           "failure_share",
    "suspension",      "idle_connections", "cache_inventory"};

}  // namespace

std::string_view MechanismName(Mechanism mechanism) {
  return kNames[static_cast<size_t>(mechanism)];
}

std::string DisabledMechanisms::ToString() const {
  std::string text;
  for (size_t i = 0; i < kMechanisms; ++i) {
    if (!set_.test(i)) continue;
    if (!text.empty()) text += ',';
    text += kNames[i];
  }
  return text;
}

absl::StatusOr<DisabledMechanisms> DisabledMechanisms::Parse(std::string_view text) {
  DisabledMechanisms disabled;
  for (const std::string_view name : SplitFields(text, ',')) {
    size_t i = 0;
    while (i < kMechanisms && kNames[i] != name) ++i;
    if (i == kMechanisms) {
      return MakeError(ErrorKind::kInvalidSetting, fmt::format("no mechanism is named '{}'", name));
    }
    disabled.Add(static_cast<Mechanism>(i));
  }
  return disabled;
}

}  // namespace cartsail
