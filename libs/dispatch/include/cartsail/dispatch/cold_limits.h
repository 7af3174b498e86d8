// Limits on how long back ends may claim to stay cold. Performs no I/O.
#pragma once

#include <chrono>

#include "cartsail/base/clock.h"

namespace cartsail {

// Longest cold period that is accepted; far above what any correct back end reports.
inline constexpr Duration kMaxColdPeriod = std::chrono::hours(1);

}  // namespace cartsail
