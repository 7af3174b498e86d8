// Bounds the repeats of a service over all nodes without a message per request: each node keeps to
// its share. Pure.
#pragma once

#include <array>
#include <cstdint>

#include "cartsail/base/clock.h"

namespace cartsail {

struct RetryBudgetOptions {
  double ratio = 0.2;             // repeats allowed per request
  double extra = 10;              // repeats allowed beside these in one window, over all nodes
  Duration window = seconds(10);  // at least a second
};

class ServiceRetryBudget {
 public:
  explicit ServiceRetryBudget(RetryBudgetOptions options) : options_(options) {}

  // A request came in for the service.
  void NoteRequest(TimePoint now);

  // Takes one repeat; false when this node's share is used up. `nodes` share the extra.
  bool TakeRepeat(TimePoint now, int64_t nodes);

  // Repeats that this node could still take now.
  double Left(TimePoint now, int64_t nodes);

 private:
  static constexpr size_t kBuckets = 10;

  struct Bucket {
    int64_t number = -1;
    int64_t requests = 0;
    int64_t repeats = 0;
  };

  Bucket& BucketAt(TimePoint now);

  RetryBudgetOptions options_;
  std::array<Bucket, kBuckets> buckets_;
};

}  // namespace cartsail
