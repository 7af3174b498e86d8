// Chooses, at the entry node, the engine whose owner is asked for a slot: prefix affinity first,
// then the less loaded of two random candidates. Load comes from the owners' digests and is
// corrected by this node's own doings since. Pure.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/scheduler/types.h"

namespace cartsail {

struct SelectorPolicy {
  // An engine with the prompt's prefix is taken while its expected wait is below this.
  Duration affinity_wait = milliseconds(100);
  bool prefix_affinity = true;
  Duration quarantine_first = milliseconds(500);
  Duration quarantine_longest = seconds(10);
  // Candidates drawn before the least loaded is taken.
  int choices = 2;
  // How long an engine's word that it is leaving is believed.
  Duration leaving_memory = seconds(30);
};

struct SelectRequest {
  std::string model;
  int tier = 0;
  uint64_t prefix_hash = 0;  // 0: no affinity
  std::set<std::string> excluded;
};

// An engine as the selector sees it.
struct EngineInfo {
  std::string id;
  std::string model;
  std::string zone;
  bool leaving = false;
};

class EngineSelector {
 public:
  explicit EngineSelector(SelectorPolicy policy = {}) : policy_(policy) {}

  // Replaces the set of engines; what is known of those that stay is kept.
  void SetEngines(const std::vector<EngineInfo>& engines);

  // Marks an engine as taking no new work, from its own refusal or its owner's word. Holds for a
  // while even if the lagging machine list still calls it live.
  void MarkLeaving(const std::string& engine, TimePoint now);

  void UpdateDigest(const std::string& engine, const QueueDigest& digest);

  // This node was granted a slot / waits / has let go.
  void NoteAsked(const std::string& engine);
  void NoteDone(const std::string& engine);

  // A connect failed or a stream broke: the engine is avoided for a while, doubling each time.
  void NoteFailure(const std::string& engine, TimePoint now);
  void NoteSuccess(const std::string& engine);

  // The engine to ask, or nullopt when no candidate is left.
  std::optional<std::string> Choose(const SelectRequest& request, TimePoint now,
                                    std::mt19937_64& random) const;

  // Engines not in `request.excluded` where a request of this tier would find a lower tier to
  // displace. A request is given up only after these have refused it.
  std::vector<std::string> WithLowerTier(const SelectRequest& request, TimePoint now) const;

  // True if some engine serves `model`, whatever its state.
  bool Serves(const std::string& model) const { return by_model_.contains(model); }

  // Expected wait for a slot at `tier`.
  Duration ExpectedWait(const std::string& engine, int tier) const;

 private:
  struct Engine {
    EngineInfo info;
    QueueDigest digest;
    bool has_digest = false;
    int asked_since_digest = 0;
    int failures = 0;
    TimePoint quarantined_until{};
    TimePoint leaving_until{};
  };

  std::vector<const Engine*> Candidates(const SelectRequest& request, TimePoint now) const;
  static double LoadOf(const Engine& engine, int tier);

  SelectorPolicy policy_;
  std::unordered_map<std::string, Engine> engines_;
  std::map<std::string, std::vector<std::string>> by_model_;
};

}  // namespace cartsail
