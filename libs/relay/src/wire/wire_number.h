// Measures as whole numbers of messages.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

namespace cartsail {

// The nearest whole number, kept within what `Integer` holds; nothing below 0.
template <typename Integer>
Integer BoundedTo(double value) {
  const auto most = static_cast<double>(std::numeric_limits<Integer>::max());
  return static_cast<Integer>(std::clamp(std::round(value), 0.0, most));
}

}  // namespace cartsail
