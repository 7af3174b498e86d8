// Divides a service's engines between light and heavy requests, so that reading long prompts does
// not hold up streams. A heavy request is one whose prompt would break the pauses of the most
// sensitive streams; all others are light. The split follows the work there is. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// The work of one service, as rates of all nodes.
struct EngineWork {
  double light_ms_per_s = 0;  // time to read the prompts of light requests
  double heavy_ms_per_s = 0;  // the same of heavy ones
  double light_requests = 0;  // running at once
  double heavy_requests = 0;  // the same of heavy ones
  double slots = 1;           // requests that one engine runs at once
};

// A moving average of the work that this node places.
class WorkMeter {
 public:
  explicit WorkMeter(Duration window) : window_(window) {}

  void Note(double prefill_ms, TimePoint now);
  double PrefillRate(TimePoint now) const;  // ms per second

 private:
  double DecayedTo(TimePoint now) const;

  Duration window_;
  double sum_ms_ = 0;  // decaying
  TimePoint updated_{};
};

// The rates of reading of one service at one node, in ms per second, as peers are told.
struct ServiceWork {
  std::string service;
  double light_ms_per_s = 0;
  double heavy_ms_per_s = 0;
};

// The reading rates of all services: this node's own and those of its peers.
class ServiceWorkView {
 public:
  explicit ServiceWorkView(Duration window) : window_(window) {}

  void Note(std::string_view service, bool is_light, double prefill_ms, TimePoint now);
  // Replaces all that `node` told before; forgotten at `until`.
  void SetPeer(std::string_view node, const std::vector<ServiceWork>& work, TimePoint until);

  // The sum over all nodes.
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
  double light_target_use = 0.25;  // reading time of an engine for light requests, as wished
  double light_max_use = 0.4;      // and at most
  double heavy_target_use = 0.4;   // reading time of an engine for heavy requests, as wished
  double light_slots = 0.4;        // share of an engine's slots for light requests, as wished
  double heavy_slots = 0.7;        // the same for heavy ones
  double streams_per_engine = 24;  // light requests on one engine, at most
  double min_light_share = 0.2;    // of the engines
  double max_light_share = 0.7;
};

// Engines wanted for light requests, of `engines`, as a fraction of an engine may be wanted.
double WantedLightEngines(const PartitionPolicy& policy, const EngineWork& work, int64_t engines);

// The number of engines set aside for light requests. It follows what is wanted, but not small
// changes: an engine that changes sides disturbs the streams that run there.
class LightEngineTarget {
 public:
  int64_t Update(double wanted, int64_t engines);

 private:
  double current_ = 0;
};

}  // namespace cartsail
