// A model engine with continuous batching, on any clock. Pure: the HTTP stand-in and the virtual
// fleet drive the same model.
//
// Between events every running sequence advances one token per step; a step takes
// `base_step + per_sequence_step * running`, times the slow-down, and longer while a prefill is
// in progress. Sequences beyond the batch limit or the KV memory wait, higher priority first; when
// the KV memory overflows the lowest priority's newest sequence is put back and computed again.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail::emulator {

struct EngineModelOptions {
  int batch_limit = 16;
  Duration base_step = milliseconds(10);
  Duration per_sequence_step = std::chrono::microseconds(500);
  double prefill_tokens_per_second = 20000;
  double prefill_slowdown = 1.3;  // of decode steps while a prefill runs
  int64_t kv_tokens = 60000;
  int64_t prefix_cache_tokens = 20000;
};

struct SequenceRequest {
  uint64_t id = 0;
  int priority = 0;  // 0 first
  int64_t prompt_tokens = 0;
  uint64_t prefix_hash = 0;   // 0: no shared prefix
  int64_t prefix_tokens = 0;  // of the prompt, saved when the prefix is cached
  int64_t output_tokens = 1;  // hidden from callers
};

// What the model did, for proofs and measures.
struct EngineModelCounters {
  int64_t tokens_generated = 0;
  int64_t prefill_tokens = 0;
  int64_t prefix_tokens_saved = 0;
  int64_t kv_preemptions = 0;
  int64_t recomputed_tokens = 0;
};

class EngineModel {
 public:
  EngineModel(EngineModelOptions options, TimePoint now);

  void Submit(const SequenceRequest& request, TimePoint now);
  // Stops a sequence; returns the tokens generated for it, nullopt when unknown.
  std::optional<int64_t> Cancel(uint64_t id, TimePoint now);

  // Moves the model to `now`.
  void Advance(TimePoint now);

  // Sequences that finished since the last call.
  std::vector<uint64_t> TakeFinished();
  // Sequences whose first token came since the last call.
  std::vector<uint64_t> TakeStarted();

  // Tokens generated so far; 0 when unknown. Looks through all sequences.
  int64_t Generated(uint64_t id) const;

  // Calls `visit(id, tokens generated)` for every sequence in the batch.
  void ForEachRunning(const std::function<void(uint64_t, int64_t)>& visit) const;

  // The next time at which a sequence starts, finishes or is admitted; nullopt when idle.
  std::optional<TimePoint> NextEvent() const;

  // Times 1.0 is full speed; 0 stops the engine.
  void SetSpeed(double speed, TimePoint now);

  int Running() const { return static_cast<int>(running_.size()); }
  int Queued() const { return static_cast<int>(queued_.size()); }
  // Duration of one decode step now.
  Duration StepTime() const;
  const EngineModelCounters& Counters() const { return counters_; }

 private:
  struct Sequence {
    SequenceRequest request;
    uint64_t order = 0;
    double prefill_left = 0;
    double generated = 0;
    bool started = false;
  };
  using SequenceList = std::list<Sequence>;

  void Admit();
  bool FitsKv(const Sequence& sequence) const;
  void EvictForKv();
  int64_t KvInUse() const;
  double StepSeconds() const;
  Sequence* Prefilling();
  const Sequence* Prefilling() const;
  double SecondsToNextEvent() const;
  void Progress(double seconds);
  void NoteTokens(Sequence& sequence, double before);
  bool TakePrefix(uint64_t hash, int64_t tokens);

  EngineModelOptions options_;
  TimePoint time_;
  double speed_ = 1;
  uint64_t next_order_ = 0;
  SequenceList running_;
  SequenceList queued_;
  std::vector<uint64_t> finished_;
  std::vector<uint64_t> started_;
  // Cached prefixes, most recently used first.
  std::list<std::pair<uint64_t, int64_t>> prefixes_;
  EngineModelCounters counters_;
};

}  // namespace cartsail::emulator
