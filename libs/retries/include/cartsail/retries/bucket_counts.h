// Event counts per numbered time bucket. Performs no I/O.
#pragma once

#include <cstdint>
#include <map>

namespace cartsail {

class BucketCounts {
 public:
  void Add(int64_t bucket) { ++counts_[bucket]; }

  // Drops the buckets before `bucket`.
  void Forget(int64_t bucket) { counts_.erase(counts_.begin(), counts_.lower_bound(bucket)); }

  // Number of events in `bucket` and later ones.
  int64_t Since(int64_t bucket) const;

  const std::map<int64_t, int64_t>& Counts() const { return counts_; }

 private:
  std::map<int64_t, int64_t> counts_;
};

// Computes BucketCounts::Since() for a non-decreasing sequence of buckets, visiting each count
// once. The BucketCounts must not change meanwhile.
class SuffixSumCursor {
 public:
  explicit SuffixSumCursor(const BucketCounts& counts)
      : next_(counts.Counts().begin()),
        end_(counts.Counts().end()),
        since_(counts.Since(INT64_MIN)) {}

  int64_t Since(int64_t bucket);

 private:
  std::map<int64_t, int64_t>::const_iterator next_;
  std::map<int64_t, int64_t>::const_iterator end_;
  int64_t since_;
};

}  // namespace cartsail
