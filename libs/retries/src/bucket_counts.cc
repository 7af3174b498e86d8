#include "cartsail/retries/bucket_counts.h"

namespace cartsail {

int64_t BucketCounts::Since(int64_t bucket) const {
  int64_t sum = 0;
  for (auto entry = counts_.lower_bound(bucket); entry != counts_.end(); ++entry) {
    sum += entry->second;
  }
  return sum;
}

int64_t SuffixSumCursor::Since(int64_t bucket) {
  while (next_ != end_ && next_->first < bucket) {
    since_ -= next_->second;
    ++next_;
  }
  return since_;
}

}  // namespace cartsail
