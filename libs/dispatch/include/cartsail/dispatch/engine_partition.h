// Partitions a service's engines between light and heavy requests, so that the prefill of long
// prompts does not delay streams. A request is heavy when its prompt would break the pauses of the
// most sensitive streams; all others are light. The partition follows the current work. Performs no
// I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// The work of one service over all nodes.
struct EngineWork {
  double light_ms_per_s = 0;  // prefill time of light requests, ms per second
  double heavy_ms_per_s = 0;  // as above, for heavy requests
  double light_requests = 0;  // running concurrently
  double heavy_requests = 0;  // as above, for heavy requests
  double slots = 1;           // requests that one engine can run concurrently
};

// An exponentially weighted moving average of the prefill work that this node places.
class WorkMeter {
 public:
  explicit WorkMeter(Duration window) : window_(window) {}

  void Note(double prefill_ms, TimePoint now);
  double PrefillRate(TimePoint now) const;  // milliseconds of prefill per second

 private:
  double DecayedTo(TimePoint now) const;

  Duration window_;
  double sum_ms_ = 0;  // sum with exponential decay
  TimePoint updated_{};
};

// The prefill rates of one service at one node, in milliseconds per second, as sent to peers.
struct ServiceWork {
  std::string service;
  double light_ms_per_s = 0;
  double heavy_ms_per_s = 0;
};

// The prefill rates of all services, of this node and of its peers.
class ServiceWorkView {
 public:
  explicit ServiceWorkView(Duration window) : window_(window) {}

  void Note(std::string_view service, bool is_light, double prefill_ms, TimePoint now);
  // Replaces the previous report of `node`; expires at `until`.
  void SetPeer(std::string_view node, const std::vector<ServiceWork>& work, TimePoint until);

  // Sum over all nodes.
  ServiceWork Total(std::string_view service, TimePoint now) const;

  std::vector<ServiceWork> Own(TimePoint now) const;

 private:
  struct Meters {
    WorkMeter light;
    WorkMeter heavy;
  };

  struct PeerWork {
    TimePoint until;
    std::vector<ServiceWork> work;
  };

  Duration window_;
  std::unordered_map<std::string, Meters> own_;
  std::unordered_map<std::string, PeerWork> peers_;
};

struct PartitionPolicy {
  double light_target_use = 0.25;  // target share of an engine's time for prefill of light requests
  double light_max_use = 0.4;      // upper limit of that share
  double heavy_target_use = 0.4;   // target share of an engine's time for prefill of heavy requests
  double light_slots = 0.4;        // target share of slots taken on an engine for light requests
  double heavy_slots = 0.7;        // target share of slots taken on an engine for heavy requests
  double streams_per_engine = 24;  // maximum number of light requests on one engine
  double min_light_share = 0.2;    // smallest share of the engines reserved for light requests
  double max_light_share = 0.7;
};

// Number of engines wanted for light requests out of `engines`; may be fractional.
double WantedLightEngines(const PartitionPolicy& policy, const EngineWork& work, int64_t engines);

// The number of engines reserved for light requests. It follows the wanted number with hysteresis,
// because an engine that changes sides disturbs the streams that run there.
class LightEngineTarget {
 public:
  int64_t Update(double wanted, int64_t engines);

 private:
  double current_ = 0;
};

}  // namespace cartsail
