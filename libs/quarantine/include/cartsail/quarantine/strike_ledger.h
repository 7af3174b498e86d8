// Counts the different backends that exited while running each request. Several nodes keep the
// count of a request, so that it survives the restart of one of them. Bounded in size, no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/strike.h"

namespace cartsail {

// A request that has enough strikes to be quarantined.
struct Verdict {
  RequestFingerprint request = 0;
  std::vector<BackendKey> backends;  // that exited while running the request
  TimePoint first_strike;
  bool is_simultaneous = false;  // all backends exited within kSimultaneousExitWindow
};

class StrikeLedger {
 public:
  // Adds a strike; a repeated report of the same strike is ignored. Returns a verdict whenever a
  // new strike of the request is its third or a later one, unless the strikes are attributed to
  // quarantined requests.
  std::optional<Verdict> Note(const Strike& strike);

  // The verdict that Note() returned, unless the request was cleared or its strikes were attributed
  // to a quarantined request since.
  std::optional<Verdict> VerdictOn(RequestFingerprint request) const;

  // Attributes the exits of `backends` to the quarantined request `by`: other requests that ran
  // there may be harmless. Replaces an earlier attribution to `by`.
  void AttributeExits(const std::vector<BackendKey>& backends, RequestFingerprint by,
                      TimePoint now);

  // Drops the strikes of a request that a backend has completed.
  void Clear(RequestFingerprint request) { records_.erase(request); }

  size_t StrikesOf(RequestFingerprint request) const;

  // Drops strikes and attributions older than 20 minutes. Call about twice a second.
  void Expire(TimePoint now);

  size_t Size() const { return records_.size(); }

 private:
  struct Record {
    std::vector<BackendKey> backends;
    TimePoint first;
    TimePoint last;
  };

  struct Attribution {
    std::vector<BackendKey> backends;
    TimePoint since;
  };

  bool IsAttributed(RequestFingerprint request, const std::vector<BackendKey>& backends) const;
  void EvictOlderHalf();

  std::unordered_map<RequestFingerprint, Record> records_;
  std::unordered_map<RequestFingerprint, Attribution> attributions_;  // by quarantined request
};

// Number of nodes that keep the strikes of a request.
inline constexpr size_t kStrikeLedgerReplicas = 3;

// The nodes among `hosts` that keep the strikes of `request`, in rendezvous hashing order. All
// nodes with the same hosts get the same result, and few requests move when a host comes or goes.
std::vector<std::string> StrikeLedgerNodesOf(RequestFingerprint request,
                                             std::vector<std::string> hosts);

}  // namespace cartsail
