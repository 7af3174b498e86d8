// What nodes tell each other of requests under which back ends end. Plain structs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cartsail/quarantine/quarantine_list.h"
#include "cartsail/quarantine/strike.h"

namespace cartsail {

// To the nodes that count the strikes of these requests.
struct StrikeReport {
  std::vector<Strike> strikes;
};

// To all nodes: a request is kept from back ends, or is innocent. With nothing left of the time for
// which it is kept it is only suspected: a node at which it ran to the end tells so.
struct QuarantineNotice {
  RequestFingerprint request = 0;
  bool is_lifted = false;
  Duration left{};                   // where not lifted: how much longer it is kept from back ends
  Duration first_strike_age{};       // where not lifted: since the first back end ended under it
  std::vector<BackendKey> backends;  // where not lifted: those that ended under it
  std::vector<std::string> targets;  // hosts to which the receiver passes it on
};

}  // namespace cartsail
