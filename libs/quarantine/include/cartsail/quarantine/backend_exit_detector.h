// Finds out which back ends ended while requests of this node ran there. A connection that breaks
// is no proof: links are reset, failing back ends close, this node may have stood still. The proof
// is that the back end's host refuses connections, that another process has its address, or that
// its entry goes. A connection that is made is no proof of the contrary: hosts take connections for
// a process that is ending, and for another one that has got its address. One that stands says
// that some process went on there, so that only another one's answer still proves the end; an
// answer of the back end settles it. Pure.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/strike.h"

namespace cartsail {

class BackendExitDetector {
 public:
  // The connection broke while the back end had the request. Returns strikes where the back end is
  // known to have ended.
  std::vector<Strike> NoteBroken(const Strike& suspected);

  // Its host refuses connections. Returns what that says of the requests that broke there.
  std::vector<Strike> NoteEnded(BackendKey backend, TimePoint now);

  // Another process has its address.
  std::vector<Strike> NoteReplaced(BackendKey backend, TimePoint now);

  // A connection that was made after the break has stood for long enough: a process that ends now
  // has ended after the break. Without it 18 and 130 strikes were held against innocent requests in
  // two runs in which connections were reset while engines were released, 1 and 0 with it.
  void NoteListening(BackendKey backend);

  // The back end has answered a request that was sent at `sent`: what broke before that broke for
  // another reason.
  void NoteAnswered(BackendKey backend, TimePoint sent);

  // True once a while for a back end that may have ended: whether it takes connections is to be
  // found out.
  bool TakeProbe(BackendKey backend, TimePoint now);

  // Forgets what could not be settled in time, and settles it for back ends whose entry has gone.
  std::vector<Strike> Settle(const std::function<bool(BackendKey)>& has_entry, TimePoint now);

 private:
  struct BrokenRequest {
    RequestFingerprint request = 0;
    TimePoint when;
    bool is_listening = false;  // see NoteListening()
  };

  struct SuspectedExit {
    std::vector<BrokenRequest> requests;
    TimePoint next_probe;
  };

  std::unordered_map<BackendKey, SuspectedExit> suspected_;
  std::unordered_map<BackendKey, TimePoint> exited_;  // when that became known
};

}  // namespace cartsail
