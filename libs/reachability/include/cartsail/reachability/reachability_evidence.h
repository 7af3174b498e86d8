// Combines the results of connections that several nodes try at the same time to a backend that
// this node cannot reach. Performs no I/O.
#pragma once

#include <cstdint>

namespace cartsail {

// Result of one connection attempt to a backend.
enum class ConnectResult : uint8_t {
  kConnected,
  kRefused,  // by the backend's host, as no process listens there, or by the network path
  kFailed,   // no answer in time, or no route
};

enum class PathVerdict {
  kReachable,    // this node reaches the backend
  kCut,          // another node reaches it: this node's path is cut
  kEnded,        // all nodes that tried were refused: the process has exited
  kUnreachable,  // no node that tried reaches it, but not all were refused
  kUnknown,      // no other node has tried
};

class ReachabilityEvidence {
 public:
  // `own`: the result of this node's own attempt, which was not kConnected. `may_ask`: there are
  // other nodes that could try too.
  ReachabilityEvidence(ConnectResult own, bool may_ask) : own_(own), may_ask_(may_ask) {}

  // Adds the result of another node's attempt.
  void Note(ConnectResult result);

  // True once another node has connected: further results do not change the verdict.
  bool IsSettled() const { return connected_; }

  // A refusal seen by one node alone does not prove that the process has exited: when the paths of
  // five of eight nodes refused connections, 57 requests were held responsible for exits that had
  // not happened. Only a node that knows no other node relies on its own refusal.
  PathVerdict Verdict() const;

 private:
  ConnectResult own_;
  bool may_ask_;
  bool connected_ = false;
  int refused_ = 0;
  int failed_ = 0;
};

}  // namespace cartsail
