// Work outstanding at each back end: what this node follows itself, counted exactly, and that of
// its peers as they last told it. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// Requests at one back end that have not ended, and how those of the last seconds ended.
struct BackendLoad {
  double prefill_ms = 0;       // expected time to read the prompts that wait for their first output
  int64_t requests = 0;        // all
  int64_t light_requests = 0;  // of these, those that disturb no stream (engine_partition.h)
  double attempts = 0;         // of the last seconds, fading
  double failures = 0;         // of these, those that failed

  BackendLoad& operator+=(const BackendLoad& other);
  BackendLoad& operator-=(const BackendLoad& other);
};

struct BackendLoadEntry {
  BackendKey backend = 0;
  BackendLoad load;
  double least_pause_ms = 0;  // between events of a stream there, as measured; 0: unknown
};

class LoadLedger {
 public:
  void Begin(BackendKey backend, double prefill_ms, bool is_light);
  void FirstOutput(BackendKey backend, double prefill_ms);
  void End(BackendKey backend, bool is_light);

  // Replaces all that `node` told before; forgotten at `until`.
  void SetPeer(std::string_view node, const std::vector<BackendLoadEntry>& loads, TimePoint until);

  // Forgets what peers told for a time that is over. To be called before Total().
  void ExpirePeers(TimePoint now);

  // Followed by this node.
  BackendLoad Own(BackendKey backend) const;

  // Of this node and its peers.
  BackendLoad Total(BackendKey backend) const;

  // What the peers told: of these only `attempts` and `failures` are of use.
  BackendLoad OfPeers(BackendKey backend) const;

  // Peers heard within the lifetime.
  int64_t PeersHeard(TimePoint now) const;

 private:
  using Loads = std::unordered_map<BackendKey, BackendLoad>;

  struct PeerLoads {
    TimePoint until;
    Loads loads;
  };

  // The sum of what peers told, kept as digests come and go.
  struct PeerSum {
    BackendLoad load;
    int64_t peers = 0;  // that told of the back end
  };

  void Subtract(const Loads& loads);

  Loads own_;
  std::unordered_map<std::string, PeerLoads> peers_;
  std::unordered_map<BackendKey, PeerSum> peer_sums_;
  TimePoint next_expiry_ = TimePoint::max();
};

}  // namespace cartsail
