// Whether the process behind an engine's id is still the one that a node takes it for. Some engines
// keep their id when they start again, perhaps with another version, and a node's list may be old.
// An entry that is read after something was heard of the process, or a connection to it was made,
// tells: a process writes its entry before it serves. Pure.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "cartsail/streams/stream_record.h"

namespace cartsail {

// An engine's entry, as it was read.
struct EngineEntry {
  std::string version;
  int64_t started_ms = 0;  // since the start of 1970, by the engine's clock; 0: it does not tell
};

// The process that wrote the stream's first event, which came at `begun` by this node's time of
// day, is of the record's version, by the entry that stands under its id since.
bool BeganStream(const EngineEntry& entry, const StreamRecord& stream,
                 std::chrono::milliseconds begun);

}  // namespace cartsail
