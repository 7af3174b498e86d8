// The header Retry-After, as back ends and this node write it. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cartsail/base/clock.h"

namespace cartsail {

// A back end that asks for more is asked again after this: nothing that it waits for takes longer
// than its own replacement does, some minutes.
inline constexpr Duration kMaxBackoff = std::chrono::hours(1);
// Where the text can't be read, or is a date and the answer does not tell its own: long enough for
// a queue to empty, some dozen requests of 20 to 60 ms.
inline constexpr Duration kDefaultBackoff = seconds(1);

// The time in `text`: seconds, fractions included, or an HTTP date, which is taken against the
// answer's own `Date`, since clocks may be set. 0 for none or a time that is past.
Duration ParseRetryAfter(std::string_view text, std::string_view date);

// Seconds with three decimals, rounded up: less would bring the caller back too early, and 0.000
// would tell it nothing.
std::string RetryAfterText(Duration wait);

}  // namespace cartsail
