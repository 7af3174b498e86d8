// Latency histograms of this process. This table is the single place that defines their names and
// help texts; docs/OPERATIONS.md repeats it, and a test compares the two.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "cartsail/base/clock.h"

namespace cartsail {

// X(name, help): all histograms are in milliseconds.
#define CARTSAIL_HISTOGRAMS(X)                                                           \
  X(request_answered_ms, "From a request's arrival to the end of its whole answer")      \
  X(request_refused_ms, "From a request's arrival to its refusal, not run")              \
  X(request_failed_ms, "From a request's arrival to a failure after it may have run")    \
  X(stream_first_output_ms, "From a request's arrival to the first piece of its stream") \
  X(stream_longest_pause_ms, "Longest pause between two pieces of one stream")           \
  X(store_call_ms, "Calls to the store other than watches")                              \
  X(document_spread_ms, "From a document's first node in force to this one")             \
  X(backend_changes_spread_ms,                                                           \
    "From a reader's answer of the store to the back ends' changes here")                \
  X(peer_datagram_wait_ms, "Longest that a datagram of another node may have waited")    \
  X(catalog_fetch_ms, "Fetches of a catalog from another node, failed ones too")

// Histogram whose bucket bounds double from 1 ms; the last bucket is unbounded. Thread-safe.
class Histogram {
 public:
  static constexpr int kBounds = 16;  // 1 ms to 32,768 ms

  void Note(Duration duration);

  // Renders the histogram in the Prometheus text exposition format, with cumulative buckets.
  std::string Render(const std::string& name, const std::string& help) const;

 private:
  std::array<std::atomic<int64_t>, kBounds + 1> buckets_{};
  std::atomic<int64_t> count_{0};
  std::atomic<int64_t> sum_us_{0};
};

struct Histograms {
#define CARTSAIL_DECLARE_HISTOGRAM(name, help) Histogram name;
  CARTSAIL_HISTOGRAMS(CARTSAIL_DECLARE_HISTOGRAM)
#undef CARTSAIL_DECLARE_HISTOGRAM
};

// The histograms of this process. Thread-safe.
Histograms& GlobalHistograms();

// Renders all histograms in the Prometheus text exposition format, with the prefix `cartsail_`.
std::string RenderHistograms(const Histograms& histograms);

}  // namespace cartsail
