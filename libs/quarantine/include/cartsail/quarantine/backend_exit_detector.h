// Detects which backend processes exited while requests of this node ran there.
//
// A broken connection alone proves nothing: links are reset, failing backends close connections,
// and this node may have been paused. An exit is proven when the backend's host refuses
// connections, another process has the backend's address, or the backend's entry is removed.
//
// A successful connect does not disprove the exit: hosts accept connections for a process that is
// exiting, and for another process that took over the address. A connection that stays open shows
// that some process kept listening, so that only the answer of another process can still prove the
// exit. An answer of the backend itself disproves it. Performs no I/O.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/strike.h"

namespace cartsail {

class BackendExitDetector {
 public:
  // The connection broke while the backend had the request. Returns the strike if the backend is
  // already known to have exited, otherwise nothing.
  std::vector<Strike> NoteBroken(const Strike& suspected);

  // The backend's host refuses connections. Returns strikes for the requests whose connections
  // broke there, except those covered by NoteListening().
  std::vector<Strike> NoteEnded(BackendKey backend, TimePoint now);

  // Another process has the backend's address. Returns strikes for all requests whose connections
  // broke there.
  std::vector<Strike> NoteReplaced(BackendKey backend, TimePoint now);

  // A connection made after the break has stayed open long enough, so a process that exits from now
  // on was still running after the break. Without this, harmless requests got 18 and 130 strikes in
  // two runs with connection resets while engines were released; with it, 1 and 0.
  void NoteListening(BackendKey backend);

  // The backend has answered a request that was sent at `sent`: connections that broke before
  // `sent` broke for another reason than its exit.
  void NoteAnswered(BackendKey backend, TimePoint sent);

  // True if the backend may have exited and a connection to it is to be tried now; at most once a
  // second per backend.
  bool TakeProbe(BackendKey backend, TimePoint now);

  // Returns strikes for backends whose entry is gone, as NoteEnded() does, and drops suspicions
  // that were not settled within 10 s.
  std::vector<Strike> Settle(const std::function<bool(BackendKey)>& has_entry, TimePoint now);

 private:
  struct BrokenRequest {
    RequestFingerprint request = 0;
    TimePoint when;
    SharedParts in_flight;
    bool is_listening = false;  // see NoteListening()
  };

  struct SuspectedExit {
    std::vector<BrokenRequest> requests;
    TimePoint next_probe;
  };

  std::unordered_map<BackendKey, SuspectedExit> suspected_;
  std::unordered_map<BackendKey, TimePoint> exited_;  // when the exit became known
};

}  // namespace cartsail
