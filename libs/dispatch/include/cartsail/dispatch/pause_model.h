// Predicts the pauses between the events of a stream at each engine, learned from completed
// streams. Performs no I/O.
//
// An engine with continuous batching processes a long prompt in chunks, one chunk in each step, and
// generates one token for every running stream in the same step (chunked prefill: Agrawal et al.,
// "Taming Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve", OSDI 2024). An event
// holds a fixed number of tokens, so of any prefill backlog only as much falls between two events
// as is processed in that many steps:
//
//     pause(backlog) = base + min(backlog, between)
//
// `base` is the pause without concurrent prefill, `between` the most prefill that falls between two
// events. Both are measured for each engine; an engine without measurements uses those of the other
// engines.
#pragma once

#include <functional>
#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// The pauses of one stream, in milliseconds.
struct StreamPauses {
  double mean_ms = 0;     // 0: too few events to measure
  double longest_ms = 0;  // 0: unknown
};

class PauseModel {
 public:
  // Records a stream at `backend` that has ended. `backlog_ms`: the estimated peak of the prefill
  // backlog there during the stream.
  void Note(BackendKey backend, const StreamPauses& pauses, double backlog_ms);

  // Records a peer's measurement of the base pause; 0: the peer has none.
  void NotePeerBase(BackendKey backend, double base_ms);

  // Mean pause of the engine's fastest recent streams; 0: unknown.
  double BasePause(BackendKey backend) const;

  // Smallest base pause of all engines; 0: unknown.
  double FastestBase() const;

  // Pause during the prefill of long prompts; 0: unknown.
  double ReadingPause(BackendKey backend) const;

  // Expected longest pause of a stream that experiences a prefill backlog of `backlog_ms`.
  double ExpectedPause(BackendKey backend, double backlog_ms) const;

  // Probability that the longest pause then exceeds `bound`; 0 where `bound` is 0.
  double BreakProbability(BackendKey backend, double backlog_ms, Duration bound) const;

  // Probability that a further `prefill_ms` makes a stream exceed `bound` that would stay within it
  // with the backlog alone.
  double AddedBreakProbability(BackendKey backend, double backlog_ms, double prefill_ms,
                               Duration bound) const;

  // Forgets every engine for which `is_known` returns false.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  struct Record {
    double base_ms = 0;
    double between_ms = 0;
    double reading_streams = 0;  // streams from which `between_ms` was learned
  };

  void NoteBase(double mean_ms, Record* record);
  void NoteReading(double longest_ms, double backlog_ms, Record* record);
  // The parameters of one engine; those not measured are typical values of all engines.
  struct Pace {
    double base_ms = 0;
    double between_ms = 0;  // 0: unknown, taken as unbounded

    double Pause(double backlog_ms) const;
    double BreakProbability(double backlog_ms, double bound_ms) const;
  };

  Pace PaceOf(BackendKey backend) const;
  Record RecordOf(BackendKey backend) const;
  double BaseOrTypical(const Record& record) const;
  double BetweenOrTypical(const Record& record) const;

  std::unordered_map<BackendKey, Record> records_;
  double typical_base_ms_ = 0;     // moving average over all engines
  double typical_between_ms_ = 0;  // as above
};

}  // namespace cartsail
