// Outstanding work at each back end: the requests that this node follows, counted exactly, and
// those of its peers as last reported. Performs no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// Unfinished requests at one back end, and the outcomes of recent ones.
struct BackendLoad {
  double prefill_ms = 0;       // expected prefill time of requests without first output
  int64_t requests = 0;        // all
  int64_t light_requests = 0;  // of `requests`, the light ones (see engine_partition.h)
  double attempts = 0;         // of the last seconds, with exponential decay
  double failures = 0;         // of `attempts`, the failed ones

  BackendLoad& operator+=(const BackendLoad& other);
  BackendLoad& operator-=(const BackendLoad& other);
};

struct BackendLoadEntry {
  BackendKey backend = 0;
  BackendLoad load;
  double least_pause_ms = 0;  // measured time between two events of a stream; 0: unknown
};

class LoadLedger {
 public:
  void Begin(BackendKey backend, double prefill_ms, bool is_light);
  void FirstOutput(BackendKey backend, double prefill_ms);
  void End(BackendKey backend, bool is_light);

  // Replaces the previous report of `node`; expires at `until`.
  void SetPeer(std::string_view node, const std::vector<BackendLoadEntry>& loads, TimePoint until);

  // Forgets expired reports of peers. To be called before Total().
  void ExpirePeers(TimePoint now);

  // Load that this node follows itself.
  BackendLoad Own(BackendKey backend) const;

  // Load of this node and its peers.
  BackendLoad Total(BackendKey backend) const;

  // Load reported by the peers.
  BackendLoad OfPeers(BackendKey backend) const;

  // Number of peers whose report has not expired.
  int64_t PeersHeard(TimePoint now) const;

 private:
  using Loads = std::unordered_map<BackendKey, BackendLoad>;

  struct PeerLoads {
    TimePoint until;
    Loads loads;
  };

  // Sum of the reports of all peers, updated as digests arrive and expire.
  struct PeerSum {
    BackendLoad load;
    int64_t peers = 0;  // number of peers that reported the back end
  };

  void Subtract(const Loads& loads);

  Loads own_;
  std::unordered_map<std::string, PeerLoads> peers_;
  std::unordered_map<BackendKey, PeerSum> peer_sums_;
  TimePoint next_expiry_ = TimePoint::max();
};

}  // namespace cartsail
