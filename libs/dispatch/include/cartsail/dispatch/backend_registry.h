// The back ends known from service discovery. Performs no I/O.
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

// Identifies one incarnation of a back end in messages between nodes: a hash of its id and its
// start time. State that is kept or sent by key therefore never applies to the next incarnation.
// `started_ms`: as in Backend.
BackendKey KeyOf(std::string_view backend_id, int64_t started_ms = 0);

// One incarnation of a back end. A back end that restarts may keep its id and its address.
struct Backend {
  std::string id;
  BackendKey key = 0;  // set by the registry
  // Start time of the process in milliseconds since the Unix epoch by the back end's clock; orders
  // its incarnations. 0: not reported.
  int64_t started_ms = 0;
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  RegionIndex region = kUnknownRegion;  // region of `zone`; set by the registry
  // Software version, an opaque string that is only compared for equality. KV cache and streams of
  // engines with different versions are not compatible. Empty: not reported, or reported to a node
  // of an earlier build only.
  std::string version;
  int64_t slots = 1;  // requests that it can run concurrently
  BackendState state = BackendState::kReady;
  bool reclaimable = false;  // the platform may reclaim it at short notice
  int64_t created_revision =
      0;  // store revision of its entry; orders entries with the same address
  // Set while the entry is missing but may have lapsed because the store was unavailable: the back
  // end is removed at this time unless the entry is back.
  std::optional<TimePoint> missing_until;
  // The back end has reported that it is still warming up after its start, until this time.
  std::optional<TimePoint> cold_until;
};

class BackendRegistry {
 public:
  BackendRegistry() = default;
  explicit BackendRegistry(RegionMap regions) : regions_(std::move(regions)) {}
  // Not copyable: the key index of a copy would point into the entries of the original.
  BackendRegistry(const BackendRegistry&) = delete;
  BackendRegistry& operator=(const BackendRegistry&) = delete;
  BackendRegistry(BackendRegistry&&) = default;
  BackendRegistry& operator=(BackendRegistry&&) = default;

  const RegionMap& Regions() const { return regions_; }

  // Replaces all entries by a snapshot of the store. A back end that is not listed is removed, at
  // once or at `missing_until` where that is given. A leaving one is removed at once.
  void ReplaceAll(std::vector<Backend> backends, std::optional<TimePoint> missing_until = {});

  // Adds or replaces one entry. An incarnation that was marked as leaving stays leaving; an entry
  // of an incarnation earlier than the known one is ignored.
  void Put(Backend backend);

  // The entry was deleted: removes the back end, at once or at `missing_until` where that is given.
  void Remove(std::string_view id, std::optional<TimePoint> missing_until = {});

  // Removes back ends whose `missing_until` has passed. Returns true when there were any.
  bool RemoveMissing(TimePoint now);

  // Marks a back end as leaving, as reported by itself or by another node. Also applies when the
  // entry of this incarnation is removed and comes back. Returns true when that was not known.
  bool MarkLeaving(BackendKey backend, const NoticeTime& told = {});

  // This node is to send the back end nothing for `backoff`. Returns true when it was not backing
  // off before.
  bool NoteBackoff(BackendKey backend, Duration backoff, const NoticeTime& told) {
    return notices_.NoteBackoff(backend, backoff, told);
  }
  std::optional<Duration> BackoffLeft(BackendKey backend, TimePoint now) const {
    return notices_.BackoffLeft(backend, now);
  }

  // Records what an answer said about the rate that the back end accepts from all nodes together.
  RateChange NoteRate(BackendKey backend, const RateNotice& notice) {
    return limits_.Note(backend, notice);
  }
  const RateLimits& Limits() const { return limits_; }

  // Records what an answer said about how many requests a second the back end can reject without
  // failing (see brittle_back_ends.h).
  RateChange NoteBrittle(BackendKey backend, const RateNotice& notice) {
    return brittle_.Note(backend, notice);
  }
  const RateLimits& Brittle() const { return brittle_; }

  // The newest rate notices on back ends of `service`, at most `most`, to be sent to other nodes.
  std::vector<BackendRateNotice> RateNoticesOf(std::string_view service, size_t most,
                                               TimePoint now) const;
  std::vector<BackendRateNotice> BrittleNoticesOf(std::string_view service, size_t most,
                                                  TimePoint now) const;

  // Called when an answer of `asked`, as this node knew it when it sent the request, has arrived.
  // If another incarnation has replaced it since, the notices in the answer may come from that one,
  // and are transferred as in BackendNotices::CarryToSuccessor().
  void NoteSuccessor(const Backend& asked);

  // Forgets notices that no longer matter. To be called about once a second.
  void ExpireNotices(TimePoint now);

  // Back ends of `service` from which this node is backing off at `now`.
  std::vector<BackendKey> BackingOffFrom(std::string_view service, TimePoint now) const;

  const Backend* Find(std::string_view id) const;

  // The back end with this key, or nullptr.
  const Backend* FindByKey(BackendKey key) const;

  // All entries, ordered by id.
  std::vector<Backend> All() const;

  // Calls `visit` with each entry, ordered by id.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [id, backend] : backends_) visit(backend);
  }

  // Sets the services of the routing document in force. Until this is called, every service counts.
  void SetServices(std::set<std::string> services);

  // Back ends of `service` that may receive new requests, ordered by id. Of two entries with the
  // same address only the one created last counts. An entry of a service that the routing document
  // does not name is ignored, and does not hide another entry with its address.
  std::vector<const Backend*> ReadyOf(std::string_view service) const;

  // Ready back ends of `service` in drained zones: they receive no new request, but still hold KV
  // cache.
  std::vector<const Backend*> DrainedOf(std::string_view service) const;

  // True when the back end is ready and its zone is not drained, so that some node may send it
  // requests.
  bool IsOpen(const Backend& backend) const {
    return backend.state == BackendState::kReady && !drains_.IsDrained(backend.zone);
  }

  // The back end with this key if IsOpen(), else nullptr.
  const Backend* FindOpen(BackendKey key) const {
    const Backend* backend = FindByKey(key);
    return backend != nullptr && IsOpen(*backend) ? backend : nullptr;
  }

  // True when this node may connect to the back end, even if only to check that it is alive: it is
  // known, neither leaving nor missing, and has not asked this node to back off.
  bool MayContact(BackendKey key, TimePoint now) const;

  // As MayContact(), for a query that is not a caller's request: also false when the back end has a
  // rate limit, because its rate is reserved for callers.
  bool MayAsk(BackendKey key, TimePoint now) const {
    return MayContact(key, now) && !limits_.Of(key).has_value();
  }

  // True when this node may send the back end a request that may be served in `allowed` only. Must
  // be checked on every path to a back end, right before anything is sent: without the check an
  // engine got three more requests from a node within the 3 s for which it had asked that node to
  // back off, some placed by the node and some by a coordinator.
  bool MayReceive(const Backend& backend, const RegionSet& allowed, TimePoint now) const {
    return IsOpen(backend) && allowed.Allows(backend.region) &&
           !notices_.BackoffLeft(backend.key, now).has_value();
  }

  // Drained zones. Each of the changing functions returns true when it changed anything.
  const ZoneDrains& Drains() const { return drains_; }
  bool DrainZone(const std::string& zone, TimePoint now);
  bool RestoreZone(const std::string& zone, TimePoint now);
  bool ReplaceDrainedZones(const std::set<std::string>& zones, TimePoint now);

  // Keys of all leaving back ends.
  std::vector<BackendKey> Leaving() const;

  size_t Size() const { return backends_.size(); }

  // Increases with every change; data derived from the registry at an earlier value is outdated.
  int64_t Changes() const { return changes_; }

 private:
  void KeepMissing(std::vector<Backend>* backends, TimePoint until) const;
  std::vector<const Backend*> NewestReadyOf(std::string_view service) const;
  bool IsService(const std::string& service) const;
  bool NoteChange(bool changed);
  bool IsNoticed(BackendKey key) const;
  void CarryToSuccessor(BackendKey earlier, const Backend& later);
  std::vector<BackendRateNotice> NoticesOf(const RateLimits& limits, std::string_view service,
                                           size_t most, TimePoint now) const;
  void Identify(const Backend* known, Backend* backend);
  void Keep(Backend backend);
  void NoteDeparture(const Backend& backend);
  std::optional<BackendKey> EarlierOf(const Backend* known, const Backend& backend);

  RegionMap regions_;
  ZoneDrains drains_;
  BackendNotices notices_;
  RateLimits limits_;
  RateLimits brittle_;  // requests a second that they can reject without failing
  std::optional<std::set<std::string>> services_;
  std::map<std::string, Backend, std::less<>> backends_;
  std::unordered_map<BackendKey, Backend*> by_key_;  // points into `backends_`
  // By id: incarnations with recorded notices whose entry was removed.
  std::map<std::string, BackendKey, std::less<>> departed_;
  int64_t changes_ = 0;
  TimePoint next_gone_ = TimePoint::max();  // no missing back end is removed before
};

}  // namespace cartsail
