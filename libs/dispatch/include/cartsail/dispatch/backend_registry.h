// The back ends that are known to exist, as discovery tells them. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_notices.h"
#include "cartsail/dispatch/rate_limits.h"
#include "cartsail/dispatch/region_map.h"
#include "cartsail/dispatch/zone_drains.h"

namespace cartsail {

enum class BackendState {
  kReady,
  kLeaving,  // takes no new request
};

// Names one incarnation of a back end in messages between nodes: a hash of its id and its start.
// What is kept or told by key of a process that has ended so never counts for the next one.
// `started_ms`: as in Backend.
BackendKey KeyOf(std::string_view backend_id, int64_t started_ms = 0);

// One incarnation of one back end. A back end that starts again may keep its id and its address.
struct Backend {
  std::string id;
  BackendKey key = 0;  // set by the registry
  // When its process started, in milliseconds since the start of 1970 on its own clock: orders its
  // incarnations. 0: it does not tell.
  int64_t started_ms = 0;
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  RegionIndex region = kUnknownRegion;  // of the zone; set by the registry
  // Of its software, opaque: equal to another one or not. What engines of two versions write does
  // not fit together. Empty: not told, or told to a node of an earlier build only.
  std::string version;
  int64_t slots = 1;  // requests that it runs at once
  BackendState state = BackendState::kReady;
  bool reclaimable = false;      // the platform may take it away after a short notice
  int64_t created_revision = 0;  // of its entry in the store: orders two entries with one address
  // Its entry is missing, but may have lapsed while the store was away: gone at this time unless
  // the entry is back.
  std::optional<TimePoint> missing_until;
  // It has told that it is still slow after its start, up to then.
  std::optional<TimePoint> cold_until;
};

class BackendRegistry {
 public:
  BackendRegistry() = default;
  explicit BackendRegistry(RegionMap regions) : regions_(std::move(regions)) {}
  // A copy would point into the entries of the original.
  BackendRegistry(const BackendRegistry&) = delete;
  BackendRegistry& operator=(const BackendRegistry&) = delete;
  BackendRegistry(BackendRegistry&&) = default;
  BackendRegistry& operator=(BackendRegistry&&) = default;

  const RegionMap& Regions() const { return regions_; }

  // The whole list, as read at one moment: back ends that are not in it are gone, or at
  // `missing_until` where that is given. Leaving ones are gone at once.
  void ReplaceAll(std::vector<Backend> backends, std::optional<TimePoint> missing_until = {});

  // One entry was written. An incarnation that was marked as leaving stays so; an entry of an
  // earlier incarnation than the known one changes nothing.
  void Put(Backend backend);

  // The entry is gone: so is the back end, or at `missing_until` where that is given.
  void Remove(std::string_view id, std::optional<TimePoint> missing_until = {});

  // Removes those that are missing for too long. True when there were some.
  bool RemoveMissing(TimePoint now);

  // Told by the back end or by another node. Holds also for an entry of this incarnation that is
  // removed and comes back. True when it was not known.
  bool MarkLeaving(BackendKey backend, const NoticeTime& told = {});

  // This node is to send it nothing for `backoff`. True when it was not backing off before.
  bool NoteBackoff(BackendKey backend, Duration backoff, const NoticeTime& told) {
    return notices_.NoteBackoff(backend, backoff, told);
  }
  std::optional<Duration> BackoffLeft(BackendKey backend, TimePoint now) const {
    return notices_.BackoffLeft(backend, now);
  }

  // What an answer of it said of the rate that it takes from all nodes together.
  RateChange NoteRate(BackendKey backend, const RateNotice& word) {
    return limits_.Note(backend, word);
  }
  const RateLimits& Limits() const { return limits_; }

  // What an answer of it said of how many requests a second it bears to turn away.
  RateChange NoteBrittle(BackendKey backend, const RateNotice& word) {
    return brittle_.Note(backend, word);
  }
  const RateLimits& Brittle() const { return brittle_; }

  // The latest words on back ends of `service`, `most` of them, to be told to other nodes.
  std::vector<BackendRateNotice> RateNoticesOf(std::string_view service, size_t most,
                                               TimePoint now) const;
  std::vector<BackendRateNotice> BrittleNoticesOf(std::string_view service, size_t most,
                                                  TimePoint now) const;

  // `asked`: an incarnation that has just answered, as this node knew it when it asked. Where
  // another one has taken its place since, what was said may be of that one, as with what was said
  // shortly before.
  void NoteSuccessor(const Backend& asked);

  // Forgets what back ends said that no longer matters. To be called about once a second.
  void ExpireNotices(TimePoint now);

  // Those of `service` from which this node backs off now.
  std::vector<BackendKey> BackingOffFrom(std::string_view service, TimePoint now) const;

  const Backend* Find(std::string_view id) const;

  // The one whose id has this key, or nullptr.
  const Backend* FindByKey(BackendKey key) const;

  // All entries, in the order of their ids.
  std::vector<Backend> All() const;

  // Calls `visit` with each entry, in the order of their ids.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [id, backend] : backends_) visit(backend);
  }

  // The services of the routing document in force. Before they are known, every service counts.
  void SetServices(std::set<std::string> services);

  // Those of `service` that may get new requests, in the order of their ids. Of two with one
  // address only the one that was created last counts; an entry of a service that the routing
  // document does not name is nobody's and hides none.
  std::vector<const Backend*> ReadyOf(std::string_view service) const;

  // Those of `service` that are ready in zones that are drained: they get no new request, and still
  // hold prompt memory.
  std::vector<const Backend*> DrainedOf(std::string_view service) const;

  // It is ready and its zone is not drained: some node may send it requests.
  bool IsOpen(const Backend& backend) const {
    return backend.state == BackendState::kReady && !drains_.IsDrained(backend.zone);
  }

  // The one with this key where it is open, or nullptr.
  const Backend* FindOpen(BackendKey key) const {
    const Backend* backend = FindByKey(key);
    return backend != nullptr && IsOpen(*backend) ? backend : nullptr;
  }

  // This node may connect to it, be it to see whether it lives: it is known, neither leaves
  // nor is missing, and has not asked this node to back off.
  bool MayContact(BackendKey key, TimePoint now) const;

  // The same for a question that is no request of a caller: nor takes it a bounded rate, which is
  // left to callers.
  bool MayAsk(BackendKey key, TimePoint now) const {
    return MayContact(key, now) && !limits_.Of(key).has_value();
  }

  // This node may send it a request that may be served in `allowed` only. To be asked on every way
  // to a back end, right before something is sent. Without it an engine got three more requests of
  // a node within the 3 s for which it had asked that node to back off, some placed by the node,
  // some by a coordinator.
  bool MayReceive(const Backend& backend, const RegionSet& allowed, TimePoint now) const {
    return IsOpen(backend) && allowed.Allows(backend.region) &&
           !notices_.BackoffLeft(backend.key, now).has_value();
  }

  // The zones that are drained. Each change returns true when there was one.
  const ZoneDrains& Drains() const { return drains_; }
  bool DrainZone(const std::string& zone, TimePoint now);
  bool RestoreZone(const std::string& zone, TimePoint now);
  bool ReplaceDrainedZones(const std::set<std::string>& zones, TimePoint now);

  // All that are leaving.
  std::vector<BackendKey> Leaving() const;

  size_t Size() const { return backends_.size(); }

  // Rises with every change: what was derived from the registry before is to be made anew.
  int64_t Changes() const { return changes_; }

 private:
  void KeepMissing(std::vector<Backend>* backends, TimePoint until) const;
  std::vector<const Backend*> NewestReadyOf(std::string_view service) const;
  bool IsService(const std::string& service) const;
  bool NoteChange(bool changed);
  bool IsNoticed(BackendKey key) const;
  void CarryToSuccessor(BackendKey earlier, const Backend& later);
  std::vector<BackendRateNotice> WordsOf(const RateLimits& limits, std::string_view service,
                                         size_t most, TimePoint now) const;
  void Identify(const Backend* known, Backend* backend);
  void Keep(Backend backend);
  void NoteDeparture(const Backend& backend);
  std::optional<BackendKey> EarlierOf(const Backend* known, const Backend& backend);

  RegionMap regions_;
  ZoneDrains drains_;
  BackendNotices notices_;
  RateLimits limits_;
  RateLimits brittle_;  // requests a second that they bear to turn away
  std::optional<std::set<std::string>> services_;
  std::map<std::string, Backend, std::less<>> backends_;
  std::unordered_map<BackendKey, Backend*> by_key_;  // into `backends_`
  // Incarnations that have told something and whose entry is gone, by id.
  std::map<std::string, BackendKey, std::less<>> departed_;
  int64_t changes_ = 0;
  TimePoint next_gone_ = TimePoint::max();  // no missing one is gone before
};

}  // namespace cartsail
