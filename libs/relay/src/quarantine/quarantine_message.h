// Messages that nodes exchange about requests under which back ends terminate. Plain structs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cartsail/quarantine/part_strike_ledger.h"
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
  // Unless lifted: the quarantine is of all requests with these parts; empty: of one request.
  std::vector<PartFingerprint> parts;
  // If lifted: another quarantine explains the exits. The request may be harmless, or not.
  bool is_explained = false;
};

// Sent to all nodes: these parts were in flight at back ends that terminated. A node at which a
// back end completes a request with one of them, or has done so since, tells the nodes that count.
struct PartInquiry {
  ServiceKey service = 0;
  Duration first_strike_age{};  // since the first of the back ends terminated
  std::vector<PartFingerprint> parts;
  std::vector<std::string> targets;  // hosts to which the receiver forwards the inquiry
};

// Sent to the nodes that count the strikes of the service's parts.
struct PartCompletions {
  struct Completion {
    PartFingerprint part = 0;
    Duration age{};  // since its last completion
  };

  ServiceKey service = 0;
  std::vector<Completion> parts;
};

}  // namespace cartsail
