// Counts the different back ends that ended under each request. A few nodes keep the count of a
// request, so that one that restarts loses nothing. Bounded. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/quarantine/strike.h"

namespace cartsail {

// A request that has enough strikes.
struct Verdict {
  RequestFingerprint request = 0;
  std::vector<BackendKey> backends;
  TimePoint first_strike;
  bool is_simultaneous = false;  // all of them ended within kSimultaneousExitWindow
};

class StrikeLedger {
 public:
  // The same strike counts once, however often it is told. Returns a verdict whenever a new strike
  // of the request is its third or a later one, unless quarantined requests explain them.
  std::optional<Verdict> Note(const Strike& strike);

  // The verdict of which Note() told, unless the request was cleared or explained since.
  std::optional<Verdict> VerdictOn(RequestFingerprint request) const;

  // `by` is quarantined, since these back ends ended under it: others that ran there may be
  // innocent.
  void AttributeExits(const std::vector<BackendKey>& backends, RequestFingerprint by,
                      TimePoint now);

  // The request is innocent: a back end has run it to the end.
  void Clear(RequestFingerprint request) { records_.erase(request); }

  size_t StrikesOf(RequestFingerprint request) const;

  // Forgets old strikes. About twice a second.
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
  std::unordered_map<RequestFingerprint, Attribution> attributions_;  // by who is quarantined
};

// Nodes that keep the count of a request.
inline constexpr size_t kStrikeLedgerReplicas = 3;

// Those of `hosts` that keep the count of `request`, the first one before the others (rendezvous
// hashing): all nodes that know the same hosts agree, and few requests move when one comes or goes.
std::vector<std::string> StrikeLedgerNodesOf(RequestFingerprint request,
                                             std::vector<std::string> hosts);

}  // namespace cartsail
