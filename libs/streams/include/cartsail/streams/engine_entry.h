// Distinguishes successive processes with the same engine id. Some engines keep their id across
// restarts, possibly with another version, and a node's engine list may be outdated. An entry that
// is read after data arrived from a process, or a connection to it was made, identifies that
// process or a later one, since a process writes its entry before it serves. Performs no I/O.
#pragma once

#include <cstdint>
#include <string>

#include "cartsail/streams/stream_record.h"

namespace cartsail {

struct EngineEntry {
  std::string version;
  int64_t started_ms = 0;  // process start, Unix time by the engine's clock; 0: not reported
};

// True if `entry`, which must have been read after the stream's first event, is that of the
// recorded process, which then wrote that event. A different start time proves nothing, even with
// the same version: a process with another version may have run in between.
inline bool BeganStream(const EngineEntry& entry, const StreamRecord& stream) {
  return entry.started_ms == stream.started_ms;
}

}  // namespace cartsail
