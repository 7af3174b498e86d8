// Parses and formats the Retry-After header. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cartsail/base/clock.h"

namespace cartsail {

// Upper bound of a back-off that a back end requests: nothing that it waits for takes longer than
// its replacement, which takes some minutes.
inline constexpr Duration kMaxBackoff = std::chrono::hours(1);
// Used when the value cannot be parsed, or is a date and the answer has no readable Date header.
// Long enough for a queue to drain: some dozen requests of 20 to 60 ms.
inline constexpr Duration kDefaultBackoff = seconds(1);

// Returns the delay in `text`: seconds, fractions allowed, or an HTTP date. A date is compared with
// the answer's own Date header, `date`, since the clocks of two machines may differ. 0 if `text` is
// empty or the date is past; at most kMaxBackoff.
Duration ParseRetryAfter(std::string_view text, std::string_view date);

// Formats `wait` in seconds with three decimals, rounded up: rounding down would bring the caller
// back too early, and 0.000 would tell it nothing.
std::string RetryAfterText(Duration wait);

}  // namespace cartsail
