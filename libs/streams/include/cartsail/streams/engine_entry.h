// What tells the processes behind an engine's id apart. Some engines keep their id when they start
// again, perhaps with another version, and a node's list may be old. An entry that is read after
// something was heard of the process, or a connection to it was made, tells: a process writes its
// entry before it serves. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "cartsail/streams/stream_record.h"

namespace cartsail {

struct EngineEntry {
  std::string version;
  int64_t started_ms = 0;  // since the start of 1970, by the engine's clock; 0: it does not tell
};

// The process that wrote the stream's first event is the recorded one, by the entry that was read
// since. Of another start nothing follows, even of the same version: a process of another one may
// have run between.
inline bool BeganStream(const EngineEntry& entry, const StreamRecord& stream) {
  return entry.started_ms == stream.started_ms;
}

}  // namespace cartsail
