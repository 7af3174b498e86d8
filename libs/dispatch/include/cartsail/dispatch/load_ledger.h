// Work outstanding at each back end: this node's own, counted exactly, and that of its peers as
// they last told it. Pure.
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
  double reading_ms = 0;     // expected time to read the prompts that wait for their first output
  int64_t requests = 0;      // all
  int64_t even_streams = 0;  // of these, streams that need even pauses
  double attempts = 0;       // of the last seconds, fading
  double failures = 0;       // of these, those that failed

  BackendLoad& operator+=(const BackendLoad& other);
};

struct BackendLoadEntry {
  BackendKey backend = 0;
  BackendLoad load;
  double least_pause_ms = 0;  // between events of a stream there, as measured; 0: unknown
};

class LoadLedger {
 public:
  void Begin(BackendKey backend, double reading_ms, bool even_stream);
  void FirstOutput(BackendKey backend, double reading_ms);
  void End(BackendKey backend, bool even_stream);

  // Replaces all that `node` told before; forgotten at `until`.
  void SetPeer(std::string_view node, const std::vector<BackendLoadEntry>& loads, TimePoint until);

  BackendLoad Own(BackendKey backend) const;
  BackendLoad Total(BackendKey backend, TimePoint now) const;

  // This node's own, without back ends that have nothing.
  std::vector<BackendLoadEntry> OwnLoads() const;

  // Peers heard within the lifetime.
  int64_t PeersHeard(TimePoint now) const;

 private:
  struct PeerLoads {
    TimePoint until;
    std::unordered_map<BackendKey, BackendLoad> loads;
  };

  std::unordered_map<BackendKey, BackendLoad> own_;
  std::unordered_map<std::string, PeerLoads> peers_;
};

}  // namespace cartsail
