// Estimates the remaining prefill time at each engine. Performs no I/O.
//
// Prompts are processed one after the other, so the backlog grows with each prompt placed and
// shrinks with time. It never exceeds the prefill time of the prompts without first output. When
// their first outputs are overdue, the engine is slower than expected or does not respond, and the
// backlog grows with the time by which they are overdue, until the engine answers a request.
#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

class PrefillBacklog {
 public:
  // Records that a prompt with a prefill time of `prefill_ms` was placed.
  void Add(BackendKey backend, double prefill_ms, TimePoint now);

  // Records that the engine has answered the prompt's request, by its first output or otherwise.
  void Answered(BackendKey backend, double prefill_ms, TimePoint now);

  // Records that the prompt's request has ended without an answer of the engine.
  void Remove(BackendKey backend, double prefill_ms, TimePoint now);

  // Remaining prefill time in milliseconds.
  double Millis(BackendKey backend, TimePoint now) const;

  // Highest remembered backlog, in milliseconds, that arose at or after `since` and was processed
  // by `until`; 0 when there is none.
  double PeakMillisBetween(BackendKey backend, TimePoint since, TimePoint until) const;

  // Forgets every engine for which `is_known` returns false.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  struct Peak {
    TimePoint at;
    double backlog_ms = 0;
  };

  struct Queue {
    int64_t prompts = 0;   // prompts without first output
    double unread_ms = 0;  // their total prefill time
    TimePoint busy_until;
    TimePoint output_due;    // when the engine's next first output was expected
    std::deque<Peak> peaks;  // strictly decreasing; a higher one removes those before it
  };

  static double ScheduledMillis(const Queue& queue, TimePoint now);
  static double OverdueMillis(const Queue& queue, TimePoint now);
  static double LeftMillis(const Queue& queue, TimePoint now);

  std::unordered_map<BackendKey, Queue> queues_;
};

}  // namespace cartsail
