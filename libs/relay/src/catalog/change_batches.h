// Changes of back ends in batches that each fit one packet, so that all nodes can be told of some
// hundred changes instead of fetching them. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catalog/backend_changes.h"

namespace cartsail {

// Whoever knows the back ends as of `since` and takes these over knows them as of `revision`, but
// for those that a later batch brings.
struct ChangeBatch {
  int64_t since = 0;
  int64_t revision = 0;
  std::vector<std::string> ids;
};

// With 100 targets and 16 changes of 40 bytes an update has 1.1 KB.
inline constexpr size_t kChangesPerBatch = 16;
// Of more changes only the revision is told, and nodes fetch them: a reader sends each batch to
// some ten nodes, so that 20 batches keep a link of 10 Mbit/s busy for 0.2 s.
inline constexpr size_t kMaxChangesSent = 320;

// `changes`: all after `since`, the latest last. All that changed at one revision is in one batch.
// One batch without changes when there are none, or too many to be told.
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
