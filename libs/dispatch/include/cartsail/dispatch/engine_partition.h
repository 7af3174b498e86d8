// Divides a service's engines between urgent and patient requests, so that reading long prompts
// does not hold up streams that need even pauses. The split follows the urgent work there is. Pure.
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
  double urgent_ms_per_s = 0;   // time to read the prompts of urgent requests
  double patient_ms_per_s = 0;  // the same of patient ones
  double urgent_streams = 0;    // running at once
  double patient_streams = 0;   // the same of patient ones
  double slots = 1;             // requests that one engine runs at once
};

// A moving average of the work that this node places.
class WorkMeter {
 public:
  explicit WorkMeter(Duration window) : window_(window) {}

  void Note(double reading_ms, TimePoint now);
  double ReadingRate(TimePoint now) const;  // ms per second

 private:
  double DecayedTo(TimePoint now) const;

  Duration window_;
  double sum_ms_ = 0;  // decaying
  TimePoint updated_{};
};

// The rates of reading of one service at one node, in ms per second, as peers are told.
struct ServiceWork {
  std::string service;
  double urgent_ms_per_s = 0;
  double patient_ms_per_s = 0;
};

// The reading rates of all services: this node's own and those of its peers.
class ServiceWorkView {
 public:
  explicit ServiceWorkView(Duration window) : window_(window) {}

  void Note(std::string_view service, bool urgent, double reading_ms, TimePoint now);
  // Replaces all that `node` told before; forgotten at `until`.
  void SetPeer(std::string_view node, const std::vector<ServiceWork>& work, TimePoint until);

  // The sum over all nodes.
  ServiceWork Total(std::string_view service, TimePoint now) const;

  std::vector<ServiceWork> Own(TimePoint now) const;

 private:
  struct Meters {
    WorkMeter urgent;
    WorkMeter patient;
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
  double urgent_wanted = 0.25;      // reading time of an engine for urgent requests, as wished
  double urgent_most = 0.4;         // and at most
  double patient_wanted = 0.4;      // reading time of an engine for patient requests, as wished
  double urgent_slots = 0.4;        // share of an engine's slots for urgent streams, as wished
  double patient_slots = 0.7;       // the same for patient ones
  double streams_per_engine = 24;   // urgent streams on one engine, at most
  double least_urgent_share = 0.2;  // of the engines
  double most_urgent_share = 0.7;
};

// Engines wanted for urgent requests, of `engines`, as a fraction of an engine may be wanted.
double WantedUrgentEngines(const PartitionPolicy& policy, const EngineWork& work, int64_t engines);

// The number of engines set aside for urgent requests. It follows what is wanted, but not small
// changes: an engine that changes sides disturbs the streams that run there.
class UrgentEngineTarget {
 public:
  int64_t Update(double wanted, int64_t engines);

 private:
  double current_ = 0;
};

}  // namespace cartsail
