// Conversion of measured values to integer message fields.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

namespace cartsail {

// Rounds `value` to the nearest integer and clamps it to [0, maximum of `Integer`].
template <typename Integer>
Integer BoundedTo(double value) {
  const auto limit = static_cast<double>(std::numeric_limits<Integer>::max());
  return static_cast<Integer>(std::clamp(std::round(value), 0.0, limit));
}

}  // namespace cartsail
