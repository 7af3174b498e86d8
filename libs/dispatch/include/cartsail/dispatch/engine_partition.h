// Divides a service's engines between urgent and patient requests, so that reading long prompts does
// not hold up streams that need even pauses. The split follows the urgent work there is. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// Urgent work of one service, as a rate.
struct UrgentWork {
  double reading_ms_per_s = 0;  // time to read prompts
  double streams = 0;           // running at once
};

// A moving average of the urgent work that this node places.
class UrgentWorkMeter {
 public:
  explicit UrgentWorkMeter(Duration window) : window_(window) {}

  void Note(double reading_ms, TimePoint now);
  double ReadingRate(TimePoint now) const;  // ms per second

 private:
  double DecayedTo(TimePoint now) const;

  Duration window_;
  double sum_ms_ = 0;  // decaying
  TimePoint updated_{};
};

// The rate of urgent reading of one service at one node, as peers are told.
struct ServiceWork {
  std::string service;
  double reading_ms_per_s = 0;
};

// The urgent reading of all services: this node's own and that of its peers.
class UrgentWorkView {
 public:
  // What a peer told is forgotten after `peer_lifetime`.
  UrgentWorkView(Duration window, Duration peer_lifetime)
      : window_(window), peer_lifetime_(peer_lifetime) {}

  void Note(std::string_view service, double reading_ms, TimePoint now);
  void SetPeer(std::string_view node, const std::vector<ServiceWork>& work, TimePoint now);

  // Of all nodes, in ms per second.
  double ReadingRate(std::string_view service, TimePoint now) const;

  std::vector<ServiceWork> Own(TimePoint now) const;

 private:
  struct PeerWork {
    TimePoint heard;
    std::vector<ServiceWork> work;
  };

  Duration window_;
  Duration peer_lifetime_;
  std::unordered_map<std::string, UrgentWorkMeter> own_;
  std::unordered_map<std::string, PeerWork> peers_;
};

struct PartitionPolicy {
  double urgent_utilization = 0.4;   // of an engine's reading time, at most, by urgent requests
  double streams_per_engine = 24;    // urgent streams on one engine
  double least_urgent_share = 0.2;   // of the engines
  double most_urgent_share = 0.6;
};

// Engines that are set aside for urgent requests, of `engines`.
int64_t UrgentEngineCount(const PartitionPolicy& policy, const UrgentWork& work, int64_t engines);

}  // namespace cartsail
