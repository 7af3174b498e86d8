// What a node sees of the back ends of one service while an attempt at one of them receives no
// data. Performs no I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

// Activity on a node's connections to one back end, either the direct or the bridged ones.
struct BackendActivity {
  BackendKey backend = 0;
  bool is_waiting = false;      // responses are pending
  TimePoint waiting_since{};    // when the first of them was requested; only if `is_waiting`
  TimePoint heard{};            // when data was last received; the zero time if never
  TimePoint speaking_since{};   // start of the period in which data arrived without a long gap
  Duration silent_before{};     // how long responses were overdue before that period
  bool is_unreachable = false;  // a connection failed, and no data was received since

  // Without pending responses, the time since data was last received.
  Duration SilentFor(TimePoint now) const;
};

struct SilenceEvidence {
  Duration silent_for{};          // time for which the attempt has received no data
  bool is_path_cut = false;       // the attempt uses this node's direct path, which is cut
  bool is_unreachable = false;    // the last connection to the back end could not be made
  bool connections_died = false;  // a silent back end has answered on a new connection
  bool backend_speaks = false;    // the back end has kept sending data on other connections
  int64_t others_silent = 0;      // other back ends of the service with responses overdue
  int64_t others_speaking = 0;    // other back ends of the service that send data

  // True if most of the service is silent at the same time, though it can be connected to, as when
  // it is paused: a replacement would be silent too.
  bool IsServiceWide() const {
    const bool is_own_fault = is_path_cut || is_unreachable || connections_died || backend_speaks;
    return !is_own_fault && others_silent > others_speaking;
  }
};

// The longest gap between two pieces of data from a back end that counts as speaking.
inline constexpr Duration kSpeakingGap = milliseconds(300);

// Evidence about an attempt at `backend` that has received no data since `since`. `service`: the
// activity of all back ends of its service that this node uses, `backend` included.
SilenceEvidence EvidenceOfSilence(BackendKey backend, TimePoint since, TimePoint now,
                                  const std::vector<BackendActivity>& service);

// The back ends that have sent nothing for `silence` although responses are pending, and those that
// are unreachable.
std::vector<BackendKey> SilentBackends(Duration silence, TimePoint now,
                                       const std::vector<BackendActivity>& service);

// The back ends that have sent data within `silence`.
std::vector<BackendKey> SpeakingBackends(Duration silence, TimePoint now,
                                         const std::vector<BackendActivity>& service);

}  // namespace cartsail
