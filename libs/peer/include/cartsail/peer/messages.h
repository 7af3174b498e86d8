// What nodes say to each other, as plain structs. The wire form is libs/peer/src/peer.capnp.
#pragma once

#include <string>
#include <vector>

#include "cartsail/claims/claim_batcher.h"
#include "cartsail/config/snapshot.h"
#include "cartsail/scheduler/types.h"

namespace cartsail {

struct AcquireRequest {
  std::string engine;
  WorkItem item;
};

struct AcquireReply {
  bool granted = false;
  RejectReason reason = RejectReason::kOverloaded;  // when not granted
  Duration retry_after{};
  QueueDigest digest;
};

struct EngineDigest {
  std::string engine;
  QueueDigest digest;
  bool leaving = false;
};

// Sent by every node to its peers. Only every few heartbeats carry digests.
struct Heartbeat {
  std::string node;
  std::string zone;
  std::string address;  // where its peer port listens, IP:PORT
  bool draining = false;
  int64_t config_revision = 0;
  int64_t machine_version = 0;        // of the machine list the sender knows
  Duration interval{};                // until the next one
  std::vector<EngineDigest> engines;  // those it owns; empty when this one carries no digests
};

// The platform's machine list, handed on between nodes.
struct MachineListText {
  int64_t version = 0;
  std::string machines;  // JSON array
};

struct ClaimCall {
  std::string key;
  ClaimRecord record;
  Duration timeout{};
};

}  // namespace cartsail
