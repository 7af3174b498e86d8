// Tracks, for each engine and pause bound, the running streams that are still within their longest
// pause, and how often that bound was broken recently. Performs no I/O.
//
// For each engine and bound it keeps L, the sum of log(1 - p) over the prompts placed there, where
// p is the probability that a prompt broke the pauses of a stream. A stream that began at L0 is
// still within its bound with probability exp(L - L0). The expected number of such streams is
// updated as streams begin and end.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// The state at the start of a stream, to be passed to End().
struct StreamMark {
  Duration bound{};         // 0: the stream has no bound and is not tracked
  double log_survival = 0;  // L0
};

class StreamRisk {
 public:
  // The streams with one bound at one engine.
  struct Exposure {
    Duration bound{};
    double streams = 0;        // expected number of streams still within the bound
    double log_survival = 0;   // L
    double recent_breaks = 0;  // sum of p over prompts, with exponential decay
    TimePoint updated;         // time of the last update of `recent_breaks`
  };

  StreamMark Begin(BackendKey backend, Duration bound);
  void End(BackendKey backend, const StreamMark& mark);

  // Records that a prompt was placed; each stream with `bound` there exceeds its bound with
  // probability `chance`.
  void NotePrompt(BackendKey backend, Duration bound, double chance, TimePoint now);

  // The exposures of all bounds that streams at `backend` have had.
  const std::vector<Exposure>& At(BackendKey backend) const;

  // Probability that a stream that runs there for `lifetime` exceeds `bound`, given the recent rate
  // of prompts.
  double FutureBreak(BackendKey backend, Duration bound, Duration lifetime, TimePoint now) const;

  // All bounds seen, in ascending order.
  const std::vector<Duration>& Bounds() const { return bounds_; }

  // Forgets every engine for which `is_known` returns false.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  Exposure& ExposureOf(BackendKey backend, Duration bound);

  std::unordered_map<BackendKey, std::vector<Exposure>> engines_;
  std::vector<Duration> bounds_;
};

}  // namespace cartsail
