// Which back ends this node does not reach on its own paths, though other nodes do. A connection
// that fails tells nothing by itself: the back end may have ended, or the path to it may be cut. It
// is the path once another node has reached the back end since. Nothing of this is kept or told as
// a belief about a back end. Pure.
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"

namespace cartsail {

class PathTable {
 public:
  // A new connection of this node's own was made, and stands.
  void NoteConnected(BackendKey backend, TimePoint now);

  // One could not be made, or broke before anything came on it.
  void NoteFailed(BackendKey backend, TimePoint now);

  // Another node has connected to the back end. True when that makes the path count as cut.
  bool NoteReachedByOther(BackendKey backend, TimePoint now);

  // Conversations with the back end are to go over another node. Where all paths are lost that
  // holds for each back end, known to this table or not.
  bool IsCut(BackendKey backend) const;

  // Several paths were found cut one after the other, and no connection was made since: this node
  // has lost its paths, and need not find out for each back end.
  bool HasLostAllPaths() const { return has_lost_all_; }

  // Back ends to which this node is to try a connection now: few at a time, the less often the
  // longer the path has been cut. A path that comes back is found so, not by a caller's request.
  std::vector<BackendKey> TakeProbes(TimePoint now, size_t most);

  size_t CutPaths() const { return cut_.size(); }

  // Forgets all back ends but those that `is_known` holds.
  void ForgetUnless(const std::function<bool(BackendKey backend)>& is_known);

 private:
  struct CutPath {
    TimePoint next_probe;
    int probes = 0;
  };

  std::unordered_map<BackendKey, TimePoint> failed_;  // the last failure, none was made since
  std::unordered_map<BackendKey, CutPath> cut_;
  std::unordered_set<BackendKey> consecutive_cuts_;  // since a connection was made last
  bool has_lost_all_ = false;
};

}  // namespace cartsail
