#include "cartsail/dispatch/query_schedule.h"

#include <algorithm>

namespace cartsail {
namespace {

constexpr Duration kInitialQueryInterval = milliseconds(50);
constexpr Duration kMaxQueryInterval = seconds(1);

}  // namespace

Duration QueryIntervalAfter(int queries) {
  Duration interval = kInitialQueryInterval;
  for (int i = 0; i < queries && interval < kMaxQueryInterval; ++i) interval *= 2;
  return std::min(interval, kMaxQueryInterval);
}

}  // namespace cartsail
