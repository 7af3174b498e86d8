// Chooses the back end of each request and keeps what that choice needs: the registry, the load of
// this node and its peers, prefixes, health. One per node. Pure: time goes in with every call.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/dispatch/attempt_outcome.h"
#include "cartsail/dispatch/backend_health.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/load_ledger.h"
#include "cartsail/dispatch/placement_policy.h"
#include "cartsail/dispatch/prefix_directory.h"
#include "cartsail/dispatch/request_profile.h"

namespace cartsail {

using PlacementTicket = uint64_t;

struct Placement {
  PlacementTicket ticket = 0;
  Backend backend;
  std::string fetch_prefix_from;  // address of an engine that holds more of the prompt; or empty
  double cost_ms = 0;             // by which it was chosen
  double first_output_ms = 0;     // expected time to the first output
  int64_t held_tokens = 0;
  int64_t candidates = 0;
  BackendLoad load;  // at the back end before this request
};

// A part of a prompt placed at a back end.
struct PrefixPlacement {
  uint64_t part = 0;
  BackendKey backend = 0;
};

// What a node tells its peers, several times a second.
struct DispatchDigest {
  std::vector<BackendLoadEntry> loads;
  std::vector<PrefixPlacement> prefixes;  // placed since the digest before
  std::vector<BackendKey> leaving;        // back ends that are known to be leaving
  std::vector<ServiceWork> work;
};

class Dispatcher {
 public:
  Dispatcher(PlacementPolicy policy, std::string zone);

  BackendRegistry& Registry() { return registry_; }
  const BackendRegistry& Registry() const { return registry_; }
  const BackendHealth& Health() const { return health_; }

  // A back end for the request, none of `tried`; nothing when no ready one is left. Every
  // placement is to be ended by Finish().
  std::optional<Placement> Place(const RequestProfile& profile,
                                 const std::vector<std::string>& tried, TimePoint now);

  // Some of the answer's body came; of a stream: an event.
  void Output(PlacementTicket ticket, TimePoint now);

  void Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now);

  // The registry has changed: forgets what is kept of back ends that are gone.
  void ForgetGone();

  DispatchDigest TakeDigest(TimePoint now);

  // What `node` tells of its load holds for `lifetime`.
  void ApplyDigest(std::string_view node, const DispatchDigest& digest, Duration lifetime,
                   TimePoint now);

  // Nodes heard lately, this one included.
  int64_t LiveNodes(TimePoint now) const { return loads_.PeersHeard(now) + 1; }

  void Tick(TimePoint now) { prefixes_.Expire(now); }

 private:
  struct Running {
    std::string backend;
    BackendKey key = 0;
    double reading_ms = 0;
    bool even_stream = false;
    bool is_generation = false;
    int64_t outputs = 0;
    TimePoint begun;
    TimePoint first_output;
    TimePoint last_output;
    double expected_ms = 0;
  };

  struct Estimate {
    double cost_ms = 0;
    double reading_ms = 0;
    int64_t held_tokens = 0;
    const Backend* fetch_from = nullptr;
    BackendLoad load;
  };

  // What all candidates for one generation are weighed against.
  struct GenerationView {
    bool patient = false;
    std::vector<const Backend*> urgent_engines;
    const Backend* holder = nullptr;  // holds most of the prompt
    int64_t holder_tokens = 0;
    const Backend* home = nullptr;  // which all nodes would choose for the prompt's subject
  };

  GenerationView ViewGeneration(const RequestProfile& profile,
                                const std::vector<const Backend*>& usable, TimePoint now);
  Estimate EstimatePrompt(const RequestProfile& profile, const Backend& backend,
                          const GenerationView& view, TimePoint now) const;
  Estimate EstimateGeneration(const RequestProfile& profile, const Backend& backend,
                              const GenerationView& view, TimePoint now) const;
  Estimate EstimatePlain(const Backend& backend, TimePoint now) const;
  double ReadingMillis(int64_t held_tokens, int64_t prompt_tokens) const;
  bool IsPatient(const RequestProfile& profile) const;
  std::vector<const Backend*> UrgentEngines(const std::string& service, TimePoint now);
  double FailureShareOf(const Backend& backend, const BackendLoad& load, TimePoint now) const;
  void AddFailing(std::vector<BackendLoadEntry>* loads, TimePoint now) const;
  double DisturbanceMillis(const BackendLoad& load, double reading_ms) const;
  std::vector<const Backend*> Usable(const RequestProfile& profile,
                                     const std::vector<std::string>& tried, TimePoint now) const;
  Placement Begin(const RequestProfile& profile, const Backend& backend, const Estimate& estimate,
                  TimePoint now);

  PlacementPolicy policy_;
  std::string zone_;
  BackendRegistry registry_;
  BackendHealth health_;
  LoadLedger loads_;
  PrefixDirectory prefixes_;
  ServiceWorkView work_;
  std::unordered_map<std::string, UrgentEngineTarget> urgent_targets_;  // by service
  std::unordered_map<PlacementTicket, Running> running_;
  std::vector<PrefixPlacement> new_prefixes_;
  PlacementTicket next_ticket_ = 1;
};

}  // namespace cartsail
