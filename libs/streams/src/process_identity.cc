#include "cartsail/streams/process_identity.h"

namespace cartsail {

bool BeganStream(const EngineEntry& entry, const StreamRecord& stream,
                 std::chrono::milliseconds begun) {
  if (entry.version == stream.version || entry.started_ms == stream.started_ms) return true;
  // The process that started later had not, or not yet, taken the place of the other one.
  const auto apart = std::chrono::duration_cast<std::chrono::milliseconds>(kMostClocksApart);
  return std::chrono::milliseconds(entry.started_ms) > begun + apart;
}

}  // namespace cartsail
