// What connections that several nodes try at one moment say of a back end that this node does not
// reach. Pure.
#pragma once

#include <cstdint>

namespace cartsail {

// How one connection to a back end ended.
enum class ConnectResult : uint8_t {
  kConnected,
  kRefused,  // its host answers that nobody listens there, or the path refuses
  kFailed,   // no answer in time, or no way there
};

enum class PathVerdict {
  kReachable,    // this node reaches it
  kCut,          // another node does: it is the path
  kEnded,        // refused to all that tried: its process has ended
  kUnreachable,  // nobody that tried reaches it, for more than one reason
  kUnknown,      // nobody else could try
};

class ReachabilityEvidence {
 public:
  // `own`: of this node's connection, which was not made. `may_ask`: there are nodes that could try
  // too.
  ReachabilityEvidence(ConnectResult own, bool may_ask) : own_(own), may_ask_(may_ask) {}

  // Of another node that tried.
  void Note(ConnectResult result);

  // One that connects settles it.
  bool IsSettled() const { return connected_; }

  // A refusal that one node alone has seen is no proof that a process has ended: where the paths of
  // five nodes of eight refused connections, 57 requests were held responsible for ends that were
  // none. A node that knows of no other one has nobody to ask.
  PathVerdict Verdict() const;

 private:
  ConnectResult own_;
  bool may_ask_;
  bool connected_ = false;
  int refused_ = 0;
  int failed_ = 0;
};

}  // namespace cartsail
