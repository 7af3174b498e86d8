// What the holder of the usage duty keeps in the store: one record a window. Builds of different
// versions read each other's records. Pure.
#pragma once

#include <string>
#include <string_view>

#include "cartsail/duties/usage_window.h"

namespace cartsail {

inline constexpr std::string_view kUsageRecordPrefix = "cartsail/usage/";

std::string UsageRecordKey(WindowNumber window);

// The window in a key that begins with the prefix; 0 when there is no number.
WindowNumber UsageRecordWindow(std::string_view key);

// "tenant=count" lines.
std::string EncodeUsageRecord(const TenantCounts& counts);

// Lines that are none are left out.
TenantCounts DecodeUsageRecord(std::string_view text);

}  // namespace cartsail
