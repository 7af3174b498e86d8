#include "cartsail/dispatch/retry_budget.h"

#include <algorithm>

namespace cartsail {
namespace {

// Nodes don't see each other's windows: each keeps this share of its part unused.
constexpr double kSafety = 0.8;

}  // namespace

ServiceRetryBudget::Bucket& ServiceRetryBudget::BucketAt(TimePoint now) {
  const Duration width = options_.window / kBuckets;
  const int64_t number = now.time_since_epoch() / width;
  Bucket& bucket = buckets_[static_cast<size_t>(number) % kBuckets];
  if (bucket.number != number) bucket = Bucket{number, 0, 0};
  return bucket;
}

void ServiceRetryBudget::NoteRequest(TimePoint now) { ++BucketAt(now).requests; }

double ServiceRetryBudget::Left(TimePoint now, int64_t nodes) {
  const int64_t newest = BucketAt(now).number;
  int64_t requests = 0;
  int64_t repeats = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number <= newest - static_cast<int64_t>(kBuckets)) continue;
    requests += bucket.requests;
    repeats += bucket.repeats;
  }
  const double extra = options_.extra / static_cast<double>(std::max<int64_t>(nodes, 1));
  const double allowed = options_.ratio * static_cast<double>(requests) + extra;
  return kSafety * allowed - static_cast<double>(repeats);
}

bool ServiceRetryBudget::TakeRepeat(TimePoint now, int64_t nodes) {
  if (Left(now, nodes) < 1) return false;
  ++BucketAt(now).repeats;
  return true;
}

}  // namespace cartsail
