#include "fleet_engines.h"

#include <fmt/format.h>

#include <algorithm>

namespace cartsail::emulator {

FleetEngines::FleetEngines(const Topology& topology, EventQueue& events,
                           std::function<void(uint64_t)> on_started,
                           std::function<void(uint64_t)> on_finished)
    : topology_(topology),
      events_(events),
      on_started_(std::move(on_started)),
      on_finished_(std::move(on_finished)) {
  for (int i = 0; i < topology.engines; ++i) {
    Engine engine;
    engine.id = fmt::format("e{}", i);
    engine.zone = fmt::format("z{}", i % topology.zones);
    index_[engine.id] = i;
    engines_.push_back(std::move(engine));
    Start(i);
  }
}

void FleetEngines::Start(int engine) {
  EngineModelOptions options;
  options.batch_limit = topology_.batch_limit;
  options.base_step = topology_.base_step;
  options.per_sequence_step = topology_.per_sequence_step;
  Engine& entry = At(engine);
  entry.model = std::make_unique<EngineModel>(options, events_.Time());
  entry.up = true;
  const int slow = static_cast<int>(topology_.slow_engine_share * topology_.engines);
  if (engine < slow) entry.model->SetSpeed(topology_.slow_speed, events_.Time());
}

double FleetEngines::Load(int engine) const {
  constexpr double kDown = 1e6;
  const Engine& entry = At(engine);
  return entry.up ? entry.model->Running() + entry.model->Queued() : kDown;
}

bool FleetEngines::Submit(int engine, const SequenceRequest& request) {
  Engine& entry = At(engine);
  if (!entry.up) return false;
  entry.sequences[request.id] = true;
  entry.model->Submit(request, events_.Time());
  AfterChange(engine);
  return true;
}

std::optional<int64_t> FleetEngines::Cancel(int engine, uint64_t sequence) {
  Engine& entry = At(engine);
  if (!entry.up || entry.sequences.erase(sequence) == 0) return std::nullopt;
  const std::optional<int64_t> generated = entry.model->Cancel(sequence, events_.Time());
  AfterChange(engine);
  return generated;
}

// Takes what the model has to tell and schedules its next event.
void FleetEngines::AfterChange(int engine) {
  Engine& entry = At(engine);
  const uint64_t version = ++entry.version;
  const std::optional<TimePoint> next = entry.model->NextEvent();
  if (next.has_value()) {
    events_.At(*next, [this, engine, version] {
      Engine& current = At(engine);
      if (current.version != version || !current.up) return;
      current.model->Advance(events_.Time());
      AfterChange(engine);
    });
  }
  for (const uint64_t sequence : entry.model->TakeStarted()) {
    if (entry.sequences.contains(sequence)) on_started_(sequence);
  }
  for (const uint64_t sequence : entry.model->TakeFinished()) {
    if (entry.sequences.erase(sequence) > 0) on_finished_(sequence);
  }
}

std::vector<FleetEngines::LostSequence> FleetEngines::Crash(int engine, Duration length) {
  std::vector<LostSequence> lost;
  Engine& entry = At(engine);
  if (!entry.up) return lost;
  entry.model->Advance(events_.Time());
  AfterChange(engine);
  entry.up = false;
  for (const auto& [sequence, present] : entry.sequences) {
    lost.push_back({sequence, entry.model->Generated(sequence)});
  }
  std::sort(lost.begin(), lost.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
  entry.sequences.clear();
  computed_by_crashed_ += entry.model->Counters().tokens_generated;
  events_.After(length, [this, engine] { Start(engine); });
  return lost;
}

void FleetEngines::Slow(int engine, double speed, Duration length) {
  if (!IsUp(engine)) return;
  At(engine).model->SetSpeed(speed, events_.Time());
  AfterChange(engine);
  events_.After(length, [this, engine] {
    if (!IsUp(engine)) return;
    At(engine).model->SetSpeed(1, events_.Time());
    AfterChange(engine);
  });
}

int64_t FleetEngines::ComputedTokens() {
  int64_t computed = computed_by_crashed_;
  for (Engine& engine : engines_) {
    if (!engine.up) continue;
    engine.model->Advance(events_.Time());
    computed += engine.model->Counters().tokens_generated;
  }
  return computed;
}

}  // namespace cartsail::emulator
