// What is believed of back ends that tell how long they stay cold. Pure.
#pragma once

#include <chrono>

#include "cartsail/base/clock.h"

namespace cartsail {

// Far above what any back end tells: who tells more is none, or is not believed.
inline constexpr Duration kMaxColdPeriod = std::chrono::hours(1);

}  // namespace cartsail
