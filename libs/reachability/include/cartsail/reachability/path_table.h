// Tracks the backends that this node cannot reach over its own network paths although other nodes
// can. A failed connection alone does not tell whether the backend has exited or the path to it is
// cut. It is the path if another node has reached the backend since. This state concerns paths only
// and is neither stored nor sent to other nodes as the state of a backend. Performs no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

class PathTable {
 public:
  // This node established a new connection to the backend itself, and it stayed open.
  void NoteConnected(BackendKey backend, TimePoint now);

  // A connection of this node to the backend could not be established, or broke before any data
  // arrived on it.
  void NoteFailed(BackendKey backend, TimePoint now);

  // When a connection of this node to the backend failed last, if that was recently and none has
  // been established since.
  std::optional<TimePoint> FailedAt(BackendKey backend, TimePoint now) const;

  // Another node has connected to the backend. Returns true if that marks the path as cut: a
  // connection of this node failed within the last 5 s, and the path was not marked before.
  bool NoteReachedByOther(BackendKey backend, TimePoint now);

  // True if traffic to the backend must go through another node. If all paths are lost, this holds
  // for every backend, known to this table or not.
  bool IsCut(BackendKey backend) const;

  // True if several paths were found cut in succession and no connection was established since.
  // This node then treats all its paths as lost and need not try each backend.
  bool HasLostAllPaths() const { return has_lost_all_; }

  // Returns up to `max_count` backends with cut paths to which this node is to try a connection
  // now, the longest overdue first. Probes become rarer the longer a path is cut. They detect a
  // restored path without risking a client's request.
  std::vector<BackendKey> TakeProbes(TimePoint now, size_t max_count);

  size_t CutPaths() const { return cut_.size(); }

  // Drops all backends for which `is_known` returns false.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  struct CutPath {
    TimePoint next_probe;
    int probes = 0;
  };

  std::unordered_map<BackendKey, TimePoint> failed_;  // last failure, with no connection since
  std::unordered_map<BackendKey, CutPath> cut_;
  std::unordered_set<BackendKey> consecutive_cuts_;  // since a connection was made last
  bool has_lost_all_ = false;
};

}  // namespace cartsail
