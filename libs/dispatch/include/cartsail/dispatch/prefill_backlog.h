// How long each engine will still read the prompts that were placed there. Pure.
//
// Prompts are read one after the other, so the backlog grows with each one placed and shrinks with
// time; it is never more than the prompts that have not given their first output take. Where their
// first outputs are overdue, the engine is slower than expected or silent, and the backlog grows
// with the time they are overdue.
#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

class PrefillBacklog {
 public:
  // A prompt that takes `prefill_ms` to read was placed.
  void Add(BackendKey backend, double prefill_ms, TimePoint now);

  // It has been read, or its request has ended.
  void Remove(BackendKey backend, double prefill_ms, TimePoint now);

  // Reading left, in milliseconds.
  double Millis(BackendKey backend, TimePoint now) const;

  // The most that was left at one moment since `since` and was read by `until`, as far as is
  // remembered.
  double PeakMillisBetween(BackendKey backend, TimePoint since, TimePoint until) const;

  // Forgets all engines but those that `is_known` holds.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  struct Peak {
    TimePoint at;
    double backlog_ms = 0;
  };

  struct Queue {
    int64_t prompts = 0;   // without first output
    double unread_ms = 0;  // to read these
    TimePoint busy_until;
    std::deque<Peak> peaks;  // falling: a later higher one takes the place of those before it
  };

  static double LeftMillis(const Queue& queue, TimePoint now);

  std::unordered_map<BackendKey, Queue> queues_;
};

}  // namespace cartsail
