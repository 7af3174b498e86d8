// How long the pauses between the events of a stream are at each engine, learnt from streams that
// ended. Pure.
//
// An engine with continuous batching reads a long prompt in chunks, one chunk in each step, and
// makes one token for every running stream in the same step (chunked prefill: Agrawal et al.,
// "Taming Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve", OSDI 2024). An event
// holds a fixed number of tokens, so of any backlog of reading only as much falls between two
// events as is read in that many steps:
//
//     pause(backlog) = base + min(backlog, between)
//
// `base` is the pause without reading beside the stream, `between` the most reading that falls
// between two events. Both are measured for each engine; one that is not known yet takes those of
// the other engines.
#pragma once

#include <functional>
#include <unordered_map>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// The pauses of one stream, in milliseconds.
struct StreamPauses {
  double mean_ms = 0;     // 0: too few events to tell
  double longest_ms = 0;  // 0: unknown
};

class PauseModel {
 public:
  // A stream at `backend` has ended. `backlog_ms`: the most reading that waited there at one moment
  // of its life, as estimated.
  void Note(BackendKey backend, const StreamPauses& pauses, double backlog_ms);

  // A peer's measure of the base pause.
  void NotePeerBase(BackendKey backend, double base_ms);

  // The mean pause of the engine's quickest recent streams. 0: unknown.
  double BasePause(BackendKey backend) const;

  // The least base pause of all engines; 0: unknown.
  double FastestBase() const;

  // The pause while long prompts are read; 0: unknown.
  double ReadingPause(BackendKey backend) const;

  // The longest pause to expect of a stream that lives through `backlog_ms` of reading.
  double ExpectedPause(BackendKey backend, double backlog_ms) const;

  // The chance, 0 to 1, that the longest pause is then over `bound`.
  double BreakProbability(BackendKey backend, double backlog_ms, Duration bound) const;

  // The chance that `prefill_ms` more puts a stream beyond `bound` which the backlog alone would
  // not.
  double AddedBreakProbability(BackendKey backend, double backlog_ms, double prefill_ms,
                               Duration bound) const;

  // Forgets all engines but those that `is_known` holds.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  struct Record {
    double base_ms = 0;
    double between_ms = 0;
    double reading_streams = 0;  // that told of `between_ms`
  };

  void NoteBase(double mean_ms, Record* record);
  void NoteReading(double longest_ms, double backlog_ms, Record* record);
  // The figures of one engine, with those over all engines where its own are not known.
  struct Pace {
    double base_ms = 0;
    double between_ms = 0;  // 0: unknown, not bounded

    double Pause(double backlog_ms) const;
    double BreakProbability(double backlog_ms, double bound_ms) const;
  };

  Pace PaceOf(BackendKey backend) const;
  Record RecordOf(BackendKey backend) const;
  double BaseOrTypical(const Record& record) const;
  double BetweenOrTypical(const Record& record) const;

  std::unordered_map<BackendKey, Record> records_;
  double typical_base_ms_ = 0;     // over all engines
  double typical_between_ms_ = 0;  // the same
};

}  // namespace cartsail
