// Events counted by the numbered bucket of time in which they lie. Pure.
#pragma once

#include <cstdint>
#include <map>

namespace cartsail {

class BucketCounts {
 public:
  void Add(int64_t bucket) { ++counts_[bucket]; }

  // Forgets the buckets before `bucket`.
  void Forget(int64_t bucket) { counts_.erase(counts_.begin(), counts_.lower_bound(bucket)); }

  // Events in `bucket` and later.
  int64_t Since(int64_t bucket) const;

  const std::map<int64_t, int64_t>& Counts() const { return counts_; }

 private:
  std::map<int64_t, int64_t> counts_;
};

// Gives Since() for buckets that only rise, each count being looked at once.
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
