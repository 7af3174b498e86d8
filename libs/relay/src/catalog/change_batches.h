// Splits backend changes into batches that each fit into one packet, so that several hundred
// changes can be sent to all nodes instead of being fetched by them. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catalog/backend_changes.h"

namespace cartsail {

// Brings a node that knows the backends as of `since` to `revision`, except for backends that a
// later batch contains. `ids`: the changed backends.
struct ChangeBatch {
  int64_t since = 0;
  int64_t revision = 0;
  std::vector<std::string> ids;
};

// With 100 targets and 16 changes of 40 bytes, an update takes 1.1 KB.
inline constexpr size_t kChangesPerBatch = 16;
// With more changes than this, only the revision is sent and nodes fetch the changes. A reader
// sends each batch to about ten nodes, so 20 batches occupy a 10 Mbit/s link for 0.2 s.
inline constexpr size_t kMaxChangesSent = 320;

// `changes`: all changes after `since`, in ascending order of revision. Changes of one revision
// stay in one batch. Returns one batch without changes when there are none or more than
// kMaxChangesSent.
inline std::vector<ChangeBatch> MakeChangeBatches(
    const std::vector<BackendChanges::Change>& changes, int64_t since, int64_t revision) {
  if (changes.size() > kMaxChangesSent) return {{revision, revision, {}}};
  std::vector<ChangeBatch> batches = {{since, revision, {}}};
  for (size_t i = 0; i < changes.size(); ++i) {
    const bool is_full = batches.back().ids.size() >= kChangesPerBatch;
    if (is_full && changes[i].revision != changes[i - 1].revision) {
      const int64_t reached = changes[i - 1].revision;
      batches.back().revision = reached;
      batches.push_back({reached, revision, {}});
    }
    batches.back().ids.push_back(changes[i].id);
  }
  return batches;
}

}  // namespace cartsail
