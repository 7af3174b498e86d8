// The hollow engines of a virtual fleet: models on the virtual clock, with crashes and slow-downs.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/operations/workload.h"
#include "engine_model.h"
#include "event_queue.h"

namespace cartsail::emulator {

class FleetEngines {
 public:
  // `on_started` and `on_finished` are called with a sequence's id.
  FleetEngines(const Topology& topology, EventQueue& events,
               std::function<void(uint64_t)> on_started, std::function<void(uint64_t)> on_finished);

  int Count() const { return static_cast<int>(engines_.size()); }
  const std::string& IdOf(int engine) const { return At(engine).id; }
  const std::string& ZoneOf(int engine) const { return At(engine).zone; }
  int IndexOf(const std::string& id) const { return index_.at(id); }
  bool IsUp(int engine) const { return At(engine).up; }
  // Sequences in the engine, running and queued, as a load report says.
  double Load(int engine) const;

  // False when the engine is down.
  bool Submit(int engine, const SequenceRequest& request);
  // Stops a sequence; the tokens generated, or nullopt when it is not there.
  std::optional<int64_t> Cancel(int engine, uint64_t sequence);

  struct LostSequence {
    uint64_t id = 0;
    int64_t generated = 0;
  };
  // Loses everything; the engine is back after `length`. In order of the ids.
  std::vector<LostSequence> Crash(int engine, Duration length);
  void Slow(int engine, double speed, Duration length);

  int64_t ComputedTokens();

 private:
  struct Engine {
    std::string id;
    std::string zone;
    std::unique_ptr<EngineModel> model;
    bool up = true;
    uint64_t version = 0;  // of the scheduled model event
    std::unordered_map<uint64_t, bool> sequences;
  };

  Engine& At(int engine) { return engines_[static_cast<size_t>(engine)]; }
  const Engine& At(int engine) const { return engines_[static_cast<size_t>(engine)]; }
  void Start(int engine);
  void AfterChange(int engine);

  const Topology& topology_;
  EventQueue& events_;
  std::function<void(uint64_t)> on_started_;
  std::function<void(uint64_t)> on_finished_;
  std::vector<Engine> engines_;
  std::unordered_map<std::string, int> index_;
  int64_t computed_by_crashed_ = 0;
};

}  // namespace cartsail::emulator
