// Chooses the back end of each request and keeps the state that the choice needs: the registry, the
// load of this node and its peers, prefixes and health. There is one dispatcher per node. A
// coordinator's dispatcher also places and follows the requests of other nodes. Performs no I/O;
// the current time is passed with every call.
#pragma once

#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cartsail/dispatch/attempt_outcome.h"
#include "cartsail/dispatch/backend_health.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/brittle_back_ends.h"
#include "cartsail/dispatch/cold_back_ends.h"
#include "cartsail/dispatch/grant_authority.h"
#include "cartsail/dispatch/grant_limiter.h"
#include "cartsail/dispatch/load_ledger.h"
#include "cartsail/dispatch/pause_model.h"
#include "cartsail/dispatch/placement.h"
#include "cartsail/dispatch/placement_policy.h"
#include "cartsail/dispatch/prefill_backlog.h"
#include "cartsail/dispatch/prefix_directory.h"
#include "cartsail/dispatch/request_profile.h"
#include "cartsail/dispatch/retry_schedule.h"
#include "cartsail/dispatch/run_time.h"
#include "cartsail/dispatch/service_pools.h"
#include "cartsail/dispatch/stream_risk.h"

namespace cartsail {

// A prompt part whose request was placed at a back end.
struct PrefixPlacement {
  uint64_t part = 0;
  BackendKey backend = 0;
};

// What a node sends to its peers several times a second.
struct DispatchDigest {
  std::vector<BackendLoadEntry> loads;
  std::vector<PrefixPlacement> prefixes;  // placed since the previous digest
  std::vector<BackendKey> leaving;        // back ends that are known to be leaving
  std::vector<ServiceWork> work;
};

// A cold back end of a service with a warm-up.
struct ColdBackEnd {
  Backend backend;
  ColdPeriod period;
};

class Dispatcher {
 public:
  // `seed` initializes the sampling of large pools. It must differ between nodes, so that nodes
  // that place independently do not pick the same back ends.
  Dispatcher(PlacementPolicy policy, std::string zone, RegionMap regions = {}, uint32_t seed = 1);

  BackendRegistry& Registry() { return registry_; }
  const BackendRegistry& Registry() const { return registry_; }

  // Chooses a back end for this node's request, other than those in `tried`; nothing when no ready
  // one is left. Every placement must be ended by Finish(). `connected`: back ends to which this
  // node has an idle connection. Metered back ends, those that are cold, rate-limited or brittle,
  // are chosen only as far as `authority` permits.
  std::optional<Placement> Place(const RequestProfile& profile,
                                 const std::vector<BackendKey>& tried, TimePoint now,
                                 std::vector<BackendKey> connected = {},
                                 const GrantAuthority& authority = {});

  // As Place(), for another node's request.
  std::optional<Placement> PlaceFor(const Requester& requester, const RequestProfile& profile,
                                    const std::vector<BackendKey>& tried, TimePoint now,
                                    const GrantAuthority& authority = {});

  // When only metered back ends are left and none may get the request now: the time after which the
  // caller is to retry; otherwise nothing. Each call schedules one caller.
  std::optional<Duration> MeteredWait(const RequestProfile& profile,
                                      const std::vector<BackendKey>& tried, TimePoint now,
                                      const GrantAuthority& authority);

  // Takes over the placement of this node's request by `coordinator`, which knew the rate notices
  // on the back end that this node had read by `rate_notices_known`. Nothing when, as far as this
  // node knows, the back end is not ready, has asked this node to back off, or is metered without
  // the coordinator knowing it, or when the request's data residency or version does not allow the
  // back end.
  std::optional<Placement> Adopt(const std::string& coordinator, const PlacementGrant& grant,
                                 const RequestProfile& profile, TimePoint rate_notices_known,
                                 TimePoint now);

  // Checked right before a request is sent. False when, since the choice, the back end has begun to
  // leave, has asked to back off, had its zone drained or was replaced by another incarnation, or
  // when the data residency of the request now in force does not allow it.
  bool MayReceive(BackendKey backend, const RequestProfile& profile, TimePoint now) const;

  // Records the notices of a back end in an answer to this node.
  NoticeChange NoteNotice(BackendKey backend, const BackendNotice& notice, TimePoint now);

  // Back ends that this node may not choose for the request: those in `tried`, and those from which
  // it backs off.
  std::vector<BackendKey> ExcludedFor(const RequestProfile& profile,
                                      const std::vector<BackendKey>& tried, TimePoint now) const;

  // The shortest back-off left among the ready back ends that may serve the request.
  struct Backoffs {
    bool all = false;  // every one of them has asked for a back-off
    std::optional<Duration> shortest;
  };
  Backoffs BackoffsFor(const RequestProfile& profile, TimePoint now);

  // Number of ready back ends of the request's service that its data residency and version allow.
  size_t ReadyFor(const RequestProfile& profile, TimePoint now);

  // True if one of these back ends is not in `excluded`.
  bool HasReadyBesides(const std::vector<BackendKey>& excluded, const RequestProfile& profile,
                       TimePoint now);

  // As MayReceive(). Also false when the grant for a metered back end has expired, or when a back
  // end placed without a grant has become cold or rate-limited since.
  bool MaySend(const Placement& placement, const RequestProfile& profile, TimePoint now) const;

  // Records that a part of the answer's body has arrived; for a stream, one event.
  void Output(PlacementTicket ticket, TimePoint now);

  void Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now);

  // Ends the placement of another node's request whose outcome is unknown.
  void Drop(PlacementTicket ticket, TimePoint now);

  // The pauses in the request's stream as measured by this node.
  StreamPauses PausesOf(PlacementTicket ticket) const;

  // Records the pauses that another node measured in the stream, which is about to end.
  void NotePauses(PlacementTicket ticket, const StreamPauses& pauses, TimePoint now);

  // Records that the engine has reported holding these parts.
  void NoteHeld(BackendKey backend, const std::vector<PromptPart>& parts, TimePoint now);

  // Forgets the state kept for back ends that are no longer in the registry. To be called after
  // registry changes.
  void ForgetRemovedBackends();

  // The digest for all peers. Covers this node's own requests, whichever node placed them. Each
  // prefix is included in one digest only.
  DispatchDigest TakeDigest(TimePoint now);

  // Queues prefixes for the next digest again, because only one peer has received them.
  void RequeuePrefixes(const std::vector<PrefixPlacement>& prefixes);

  // The loads to send to `coordinator`: without requests that it placed and follows itself.
  std::vector<BackendLoadEntry> LoadsFor(const std::string& coordinator, TimePoint now) const;

  // Nodes that placed requests of this node that have not ended.
  std::vector<std::string> Coordinators() const;

  // Applies a digest of `node`; its loads expire after `lifetime`.
  void ApplyDigest(std::string_view node, const DispatchDigest& digest, Duration lifetime,
                   TimePoint now);

  // Requests of this node and its peers that run or wait at the back end.
  int64_t RequestsAt(BackendKey backend) const { return loads_.Total(backend).requests; }

  // True when the back end is suspended after lost connections: others are preferred.
  bool IsSuspended(BackendKey backend, TimePoint now) const;

  // Number of nodes heard from recently, including this one.
  int64_t LiveNodes(TimePoint now) const { return loads_.PeersHeard(now) + 1; }

  // Sets the warm-up of each service from the routing document.
  void SetWarmUps(const std::vector<ServiceRule>& services, const ColdBound& bound) {
    cold_.SetRules(services, bound);
  }
  // True when some back ends of `service` may be metered.
  bool MayBeMetered(const std::string& service) const {
    return cold_.RuleOf(service) != nullptr || !registry_.Limits().IsEmpty() ||
           !registry_.Brittle().IsEmpty();
  }
  std::vector<std::string> ServicesWithWarmUp() const { return cold_.Services(); }

  // The cold back ends of `service` that may receive requests.
  std::vector<ColdBackEnd> ColdOf(const std::string& service, TimePoint now) const;

  // Lost back ends of `service`, at most `most`, that are to be queried now for how long they stay
  // cold, by a node with the authority to grant to cold ones. Each query counts as a request.
  std::vector<Backend> TakeWarmthQueries(const std::string& service, size_t most, TimePoint now);

  // True when some lost back ends may have to be queried.
  bool HasLostBackEnds() const { return cold_.HasLosses(); }

  // Returns true when the report decides the cold period after a loss.
  bool NoteWarmth(BackendKey backend, const WarmthReport& report, TimePoint now) {
    return cold_.NoteWarmth(backend, report, now);
  }

  // To be called about twice a second.
  void Tick(TimePoint now);

 private:
  struct Running {
    BackendKey backend = 0;
    double prefill_ms = 0;
    bool is_light = false;
    bool is_generation = false;
    AttemptOrigin origin = AttemptOrigin::kOwn;
    std::string placed_by;  // empty: this node chose
    int64_t outputs = 0;
    TimePoint begun;
    TimePoint first_output;
    TimePoint last_output;
    Duration longest_pause{};  // between two consecutive outputs
    StreamMark risk;
    std::string service;
    Duration pause_bound{};  // 0: the stream has no bound
    double backlog_ms = 0;   // prefill time that its prompt added to the engine's backlog
    double expected_ms = 0;
    std::vector<uint64_t> shared_parts;  // ids of the prompt parts that other requests may share
  };

  struct Estimate {
    double loss = 0;  // expected cost, in requests that miss their goal
    double prefill_ms = 0;
    double first_output_ms = 0;
    int64_t held_tokens = 0;
    const Backend* fetch_from = nullptr;
    BackendLoad load;
  };

  // A back end that the request may be sent to.
  struct Candidate {
    const Backend* backend = nullptr;
    bool for_light = false;
    int64_t held_tokens = 0;  // tokens of the request's prompt held there
    bool is_trial = false;    // chosen before all others, to learn whether the back end is back
  };

  // The back end of one region and version that has processed the longest prefix of the prompt, and
  // can transfer its KV cache to others of that region and version.
  struct Holder {
    const Backend* backend = nullptr;
    int64_t tokens = 0;
  };

  // Inputs that are common to all candidates for one request.
  struct PlacementView {
    const Requester* requester = nullptr;
    std::vector<Candidate> candidates;
    absl::InlinedVector<Holder, 3> holders;  // one per region and version with a holder
    int64_t known_tokens = 0;  // longest prefix that any engine has processed or is processing
    // Shortest time until a metered back end that was left out may be chosen.
    std::optional<Duration> metered_wait;
    double limited_per_s = 0;  // rate that this node may grant to limited ones left out
  };

  const std::vector<PoolMember>& MembersFor(const RequestProfile& profile, TimePoint now);
  // True if the member is ready and the request's data residency and version allow it.
  bool IsReadyFor(const PoolMember& member, const RegionSet& allowed,
                  const RequestProfile& profile) const;
  void RemoveMissing(TimePoint now);
  std::vector<PoolMember> SampleMembers(const ServicePool& pool, const Requester& requester,
                                        const RequestProfile& profile, TimePoint now);
  PlacementView View(const Requester& requester, const RequestProfile& profile,
                     const std::vector<BackendKey>& tried, TimePoint now,
                     const GrantAuthority& authority);
  PlacementView ViewOf(const std::vector<PoolMember>& members, const RequestProfile& profile,
                       const std::vector<BackendKey>& tried, TimePoint now,
                       const GrantAuthority& authority) const;
  Duration WaitForCold(const Backend& backend, TimePoint now,
                       const GrantAuthority& authority) const;
  Duration WaitForLimited(const Backend& backend, TimePoint now,
                          const GrantAuthority& authority) const;
  Duration WaitForBrittle(const Backend& backend, TimePoint now,
                          const GrantAuthority& authority) const;
  Duration WaitForMetered(const Backend& backend, TimePoint now,
                          const GrantAuthority& authority) const;
  double LimitedRate(const Backend& backend, const GrantAuthority& authority) const;
  std::optional<ColdPeriod> ColdPeriodOf(const Backend& backend, TimePoint now) const;
  bool IsReportedCold(const Backend& backend, TimePoint now) const;
  bool IsMetered(const Backend& backend, TimePoint now) const;
  bool HasLaterRateLimit(BackendKey backend, TimePoint notices_known) const;
  void SetSendDeadline(Placement* placement, TimePoint now) const;
  void FindHolders(const RequestProfile& profile, const std::vector<PoolMember>& members,
                   const RegionSet& allowed, TimePoint now, PlacementView* view) const;
  static void NoteHolder(const Holder& holder, PlacementView* view);
  bool MayShareMemory(const Backend& from, const Backend& to) const;
  Holder HolderFor(const Backend& backend, const PlacementView& view) const;
  std::optional<Placement> Choose(const Requester& requester, const RequestProfile& profile,
                                  const std::vector<BackendKey>& tried, TimePoint now,
                                  const GrantAuthority& authority);
  Estimate EstimatePrompt(const RequestProfile& profile, const Candidate& candidate,
                          const PlacementView& view) const;
  Estimate EstimateGeneration(const RequestProfile& profile, const Candidate& candidate,
                              const PlacementView& view, TimePoint now) const;
  Estimate EstimatePlain(const Candidate& candidate, const PlacementView& view,
                         TimePoint now) const;
  double PrefillMillis(int64_t held_tokens, int64_t prompt_tokens) const;
  double ConnectionLoss(const Backend& backend, const Requester& requester, TimePoint now) const;
  double BacklogMillis(BackendKey backend, TimePoint now) const;
  double SlownessOf(BackendKey backend, TimePoint now) const;
  double PauseBreakProbability(BackendKey backend, double backlog_ms, double prefill_ms,
                               Duration bound) const;
  double StreamLoss(const Backend& backend, double backlog_ms, double prefill_ms) const;
  double OwnLateProbability(const RequestProfile& profile, const Backend& backend,
                            double first_output_ms, double backlog_ms, TimePoint now) const;
  double WaitForSlotMillis(const RequestProfile& profile, const Backend& backend,
                           const BackendLoad& load) const;
  double CrowdingLoss(const Backend& backend, const BackendLoad& load) const;
  double PartitionLoss(const RequestProfile& profile, const Candidate& candidate,
                       double prefill_ms) const;
  bool IsOff(Mechanism mechanism) const { return policy_.disabled.Has(mechanism); }
  bool IsDisturbing(BackendKey backend, double prefill_ms) const;
  double FailureShareOf(BackendKey backend, TimePoint now) const;
  std::vector<BackendLoadEntry> OwnLoads(const std::string& without, TimePoint now) const;
  void AddFailing(std::vector<BackendLoadEntry>* loads, TimePoint now) const;
  void Begin(const RequestProfile& profile, AttemptOrigin origin, Placement* placement,
             TimePoint now);
  void BeginPrompt(const RequestProfile& profile, Running* running, TimePoint now);
  void End(PlacementTicket ticket, bool has_answered, TimePoint now);
  void RemoveFromBacklog(const Running& running, bool has_answered, TimePoint now);
  void NotePrefixes(const RequestProfile& profile, BackendKey backend, AttemptOrigin origin,
                    TimePoint now);

  PlacementPolicy policy_;
  std::string zone_;
  BackendRegistry registry_;
  BackendHealth health_;
  ColdBackEnds cold_;
  GrantLimiter grants_;
  BrittleBackEnds brittle_;
  std::unordered_map<std::string, RetrySchedule> retry_schedules_;  // by service name
  PauseModel pauses_;
  StreamRisk risk_;
  PrefillBacklog backlog_;
  RunTimes run_times_;
  LoadLedger loads_;
  PrefixDirectory prefixes_;
  ServiceWorkView work_;
  ServicePools pools_;
  std::minstd_rand draws_;  // samples members of large pools
  std::unordered_map<PlacementTicket, Running> running_;
  std::vector<PrefixPlacement> new_prefixes_;
  PlacementTicket next_ticket_ = 1;
};

}  // namespace cartsail
