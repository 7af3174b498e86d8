// Messages that nodes exchange about requests under which back ends terminate. Plain structs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cartsail/quarantine/quarantine_list.h"
#include "cartsail/quarantine/strike.h"

namespace cartsail {

// Sent to the nodes that count the strikes of these requests.
struct StrikeReport {
  std::vector<Strike> strikes;
};

// Sent to all nodes: a request is quarantined, or it is innocent and its quarantine is lifted. When
// neither is the case (`left` is 0) the request is only suspected, and a node at which it has
// completed says so.
struct QuarantineNotice {
  RequestFingerprint request = 0;
  bool is_lifted = false;
  Duration left{};                   // unless lifted: remaining quarantine; 0: only suspected
  Duration first_strike_age{};       // unless lifted: since the first back end terminated
  std::vector<BackendKey> backends;  // unless lifted: those that terminated under it
  std::vector<std::string> targets;  // hosts to which the receiver forwards the notice
};

}  // namespace cartsail
