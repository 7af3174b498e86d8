// Record of a started stream: the version of the engine software that wrote its events. Events of
// engines with different versions cannot be combined into one stream. Performs no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cartsail/base/clock.h"

namespace cartsail {

// Identifies a stream by the request that received its first event.
using StreamKey = uint64_t;

// `tenant` keeps clients from resuming streams of another tenant; empty if there are no tenants.
StreamKey KeyOfStream(std::string_view service, std::string_view tenant,
                      std::string_view request_id);

struct StreamRecord {
  StreamKey key = 0;
  std::string version;        // opaque, only compared for equality
  std::string engine;         // id of the engine that sent the first event
  int64_t started_ms = 0;     // EngineEntry::started_ms of that engine; 0: not reported
  bool is_confirmed = false;  // an engine list valid after the first event names the same process
  TimePoint begun;            // arrival of the first event
  TimePoint until;            // the client may resume the stream until then
};

// Longest time after its first event during which a stream may be resumed.
inline constexpr Duration kMaxResumeTime = seconds(120);

// How long a version is remembered after an engine of it was last seen. After that no live stream
// has events of the version, and no node that has lost contact starts a stream at it.
inline constexpr Duration kVersionRetention = std::chrono::minutes(20);

// How long a node may start streams at a version after it was told that the ledger contains it; far
// shorter than kVersionRetention.
inline constexpr Duration kPermissionValidity = std::chrono::minutes(5);

}  // namespace cartsail
