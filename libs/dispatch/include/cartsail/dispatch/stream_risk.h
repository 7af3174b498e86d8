// The streams that run at each engine and are still within their longest pause, by that bound, and
// how often streams with that bound were put beyond it there lately. Pure.
//
// For each engine and bound it keeps L, the sum of log(1 - p) over the prompts placed there, p
// being the chance that a prompt broke the pauses of a stream. A stream that began at L0 is still
// in time with probability exp(L - L0); the expected number of such streams is kept as they begin
// and end.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// Where a stream began; to be handed back when it ends.
struct StreamMark {
  Duration bound{};         // 0: the stream has none and is not followed
  double log_survival = 0;  // L0
};

class StreamRisk {
 public:
  // Streams with one bound at one engine.
  struct Exposure {
    Duration bound{};
    double streams = 0;        // expected to be in time still
    double log_survival = 0;   // L
    double recent_breaks = 0;  // sum of p over prompts, fading
    TimePoint updated;         // of `recent_breaks`
  };

  StreamMark Begin(BackendKey backend, Duration bound);
  void End(BackendKey backend, const StreamMark& mark);

  // A prompt was placed; each stream with `bound` there goes beyond it with probability `chance`.
  void NotePrompt(BackendKey backend, Duration bound, double chance, TimePoint now);

  // All bounds that streams at `backend` have had.
  const std::vector<Exposure>& At(BackendKey backend) const;

  // The chance that a stream which runs there for `lifetime` is put beyond `bound`, as prompts
  // came lately.
  double FutureBreak(BackendKey backend, Duration bound, Duration lifetime, TimePoint now) const;

  // All bounds seen, least first.
  const std::vector<Duration>& Bounds() const { return bounds_; }

  // Forgets all engines but those that `is_known` holds.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  Exposure& ExposureOf(BackendKey backend, Duration bound);

  std::unordered_map<BackendKey, std::vector<Exposure>> engines_;
  std::vector<Duration> bounds_;
};

}  // namespace cartsail
