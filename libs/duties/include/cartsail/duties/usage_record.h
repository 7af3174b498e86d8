// Encoding of the usage records that the holder of the usage duty keeps in the store, one per
// window. Different versions of the program read each other's records, so the format must stay
// compatible.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cartsail/duties/usage_window.h"

namespace cartsail {

inline constexpr std::string_view kUsageRecordPrefix = "cartsail/usage/";

// Store key of a window's record.
std::string UsageRecordKey(WindowNumber window);

// The window of a record's key, which must begin with kUsageRecordPrefix. nullopt if no number
// follows, or one that is not from `first` to `last`: others may write such keys.
std::optional<WindowNumber> UsageRecordWindow(std::string_view key, WindowNumber first,
                                              WindowNumber last);

// Encodes one "tenant=count" line per tenant.
std::string EncodeUsageRecord(const TenantCounts& counts);

// Decodes "tenant=count" lines; lines without "=" are skipped. A malformed count is read as
// 0.
TenantCounts DecodeUsageRecord(std::string_view text);

}  // namespace cartsail
