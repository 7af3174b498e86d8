// Chooses the back end of each request and keeps what that choice needs: the registry, the load of
// this node and its peers, prefixes, health. One per node. A coordinator's dispatcher also chooses
// for other nodes' requests and follows them. Pure: time goes in with every call.
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

// A part of a prompt placed at a back end.
struct PrefixPlacement {
  uint64_t part = 0;
  BackendKey backend = 0;
};

// What a node tells its peers, several times a second.
struct DispatchDigest {
  std::vector<BackendLoadEntry> loads;
  std::vector<PrefixPlacement> prefixes;  // placed since the digest before
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
  // `seed`: of the draws from large pools; another one at each node, so that nodes that place by
  // themselves do not meet at the same back ends.
  Dispatcher(PlacementPolicy policy, std::string zone, RegionMap regions = {}, uint32_t seed = 1);

  BackendRegistry& Registry() { return registry_; }
  const BackendRegistry& Registry() const { return registry_; }

  // A back end for this node's request, none of `tried`; nothing when no ready one is left. Every
  // placement is to be ended by Finish(). Metered back ends, cold or limited ones, are chosen with
  // the right to grant only.
  std::optional<Placement> Place(const RequestProfile& profile,
                                 const std::vector<BackendKey>& tried, TimePoint now,
                                 std::vector<BackendKey> connected = {},
                                 const GrantAuthority& right = {});

  // The same for another node's request.
  std::optional<Placement> PlaceFor(const Requester& requester, const RequestProfile& profile,
                                    const std::vector<BackendKey>& tried, TimePoint now,
                                    const GrantAuthority& right = {});

  // Where only metered back ends are left, and none may get the request now: the time after which
  // its caller is to come back. Each call is one such caller.
  std::optional<Duration> MeteredWait(const RequestProfile& profile,
                                      const std::vector<BackendKey>& tried, TimePoint now,
                                      const GrantAuthority& right);

  // This node's request, placed by `coordinator`, who knew the rate words on the back end that this
  // node had read by `rate_notices_known`. Nothing when the back end isn't ready as far as this
  // node knows, or has asked it to back off, or is metered without the coordinator knowing it, or
  // the request's data residency doesn't allow it.
  std::optional<Placement> Adopt(const std::string& coordinator, const PlacementGrant& grant,
                                 const RequestProfile& profile, TimePoint rate_notices_known,
                                 TimePoint now);

  // Asked right before a request is sent: the back end has not begun to leave since it was chosen,
  // nor asked to back off, nor was its zone drained, nor has another incarnation taken its place,
  // and the request's data residency, as it is in force now, allows it.
  bool MayReceive(BackendKey backend, const RequestProfile& profile, TimePoint now) const;

  // What a back end said of itself in an answer to this node.
  NoticeChange NoteNotice(BackendKey backend, const BackendNotice& notice, TimePoint now);

  // Back ends that this node may not choose for the request: those tried, and those from which it
  // backs off.
  std::vector<BackendKey> ExcludedFor(const RequestProfile& profile,
                                      const std::vector<BackendKey>& tried, TimePoint now) const;

  // The shortest back-off left among the ready back ends that the request may be served by.
  struct Backoffs {
    bool all = false;  // there is one from each of them
    std::optional<Duration> shortest;
  };
  Backoffs BackoffsFor(const RequestProfile& profile, TimePoint now);

  // Ready back ends of the request's service that its data residency allows.
  size_t ReadyFor(const RequestProfile& profile, TimePoint now);

  // The same, and a request to a metered back end has a grant that still holds.
  bool MaySend(const Placement& placement, const RequestProfile& profile, TimePoint now) const;

  // Some of the answer's body came; of a stream: an event.
  void Output(PlacementTicket ticket, TimePoint now);

  void Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now);

  // Another node's request has ended, but how isn't known.
  void Drop(PlacementTicket ticket, TimePoint now);

  // Of the request's stream, as this node has measured them.
  StreamPauses PausesOf(PlacementTicket ticket) const;

  // What another node measured of the stream, which is about to end.
  void NotePauses(PlacementTicket ticket, const StreamPauses& pauses, TimePoint now);

  // The engine has told that it holds these parts.
  void NoteHeld(BackendKey backend, const std::vector<PromptPart>& parts, TimePoint now);

  // The registry has changed: forgets what is kept of back ends that are gone.
  void ForgetRemovedBackends();

  // For all peers: this node's own requests, whoever placed them. Prefixes are told once.
  DispatchDigest TakeDigest(TimePoint now);

  // Prefixes that only one peer was told of: the next digest names them again.
  void RequeuePrefixes(const std::vector<PrefixPlacement>& prefixes);

  // The loads as `coordinator` is told them: without those that it placed and follows itself.
  std::vector<BackendLoadEntry> LoadsFor(const std::string& coordinator, TimePoint now) const;

  // The nodes that placed requests of this node that have not ended.
  std::vector<std::string> Coordinators() const;

  // What `node` tells of its load holds for `lifetime`.
  void ApplyDigest(std::string_view node, const DispatchDigest& digest, Duration lifetime,
                   TimePoint now);

  // Requests that run or wait at the back end, of this node and its peers.
  int64_t RequestsAt(BackendKey backend) const { return loads_.Total(backend).requests; }

  // It has failed lately: others are chosen before it.
  bool IsSuspended(BackendKey backend, TimePoint now) const;

  // Nodes heard lately, this one included.
  int64_t LiveNodes(TimePoint now) const { return loads_.PeersHeard(now) + 1; }

  // The warm-up of each service, as the routing document tells it.
  void SetWarmUps(const std::vector<ServiceRule>& services, const ColdBound& bound) {
    cold_.SetRules(services, bound);
  }
  // Some of its back ends may be metered.
  bool MayBeMetered(const std::string& service) const {
    return cold_.RuleOf(service) != nullptr || !registry_.Limits().IsEmpty() ||
           !registry_.Brittle().IsEmpty();
  }
  std::vector<std::string> ServicesWithWarmUp() const { return cold_.Services(); }

  // The cold back ends of `service` that may receive requests.
  std::vector<ColdBackEnd> ColdOf(const std::string& service, TimePoint now) const;

  // Back ends of `service` that were lost and are to be asked now how long they stay cold, by a
  // node with the right to grant to cold ones; `most` of them. Each question counts as a request.
  std::vector<Backend> TakeWarmthQueries(const std::string& service, size_t most, TimePoint now);

  // Some may have to be asked.
  bool HasLostBackEnds() const { return cold_.HasLosses(); }

  // True when that ends or settles a spell after a loss.
  bool NoteWarmth(BackendKey backend, const WarmthReport& answer, TimePoint now) {
    return cold_.NoteWarmth(backend, answer, now);
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
    std::string placed_by;  // empty: this node
    int64_t outputs = 0;
    TimePoint begun;
    TimePoint first_output;
    TimePoint last_output;
    Duration longest_pause{};  // between two outputs
    StreamMark risk;
    std::string service;
    Duration pause_bound{};  // 0: none
    double backlog_ms = 0;   // what its prompt added to the engine's backlog
    double expected_ms = 0;
    std::vector<uint64_t> shared_parts;  // of its prompt
  };

  struct Estimate {
    double loss = 0;  // expected, in requests
    double prefill_ms = 0;
    double first_output_ms = 0;
    int64_t held_tokens = 0;
    const Backend* fetch_from = nullptr;
    BackendLoad load;
  };

  // A back end that the request may go to.
  struct Candidate {
    const Backend* backend = nullptr;
    bool for_light = false;
    int64_t held_tokens = 0;  // of the request's prompt
    bool is_trial = false;    // chosen before all others, to learn whether it is back
  };

  // A back end that has read most of the prompt and can hand it over within its region, to those of
  // its version.
  struct Holder {
    const Backend* backend = nullptr;
    int64_t tokens = 0;
  };

  // What all candidates for one request are weighed against.
  struct PlacementView {
    const Requester* requester = nullptr;
    std::vector<Candidate> candidates;
    absl::InlinedVector<Holder, 3> holders;  // one for each region and version that has some
    int64_t known_tokens = 0;                // read or being read at one engine, at most
    // Until one of the metered back ends that were left out may be chosen.
    std::optional<Duration> metered_wait;
    double limited_per_s = 0;  // what this node may grant to limited ones that were left out
  };

  void RemoveMissing(TimePoint now);
  std::vector<PoolMember> SampleMembers(const ServicePool& pool, const Requester& requester,
                                        const RequestProfile& profile, TimePoint now);
  PlacementView View(const Requester& requester, const RequestProfile& profile,
                     const std::vector<BackendKey>& tried, TimePoint now,
                     const GrantAuthority& right);
  PlacementView ViewOf(const std::vector<PoolMember>& members, const RequestProfile& profile,
                       const std::vector<BackendKey>& tried, TimePoint now,
                       const GrantAuthority& right) const;
  Duration WaitForCold(const Backend& backend, TimePoint now, const GrantAuthority& right) const;
  Duration WaitForLimited(const Backend& backend, TimePoint now, const GrantAuthority& right) const;
  Duration WaitForBrittle(const Backend& backend, TimePoint now, const GrantAuthority& right) const;
  Duration WaitForMetered(const Backend& backend, TimePoint now, const GrantAuthority& right) const;
  double LimitedRate(const Backend& backend, const GrantAuthority& right) const;
  std::optional<ColdPeriod> ColdPeriodOf(const Backend& backend, TimePoint now) const;
  bool IsReportedCold(const Backend& backend, TimePoint now) const;
  bool IsMetered(const Backend& backend, TimePoint now) const;
  bool HasLaterRateLimit(BackendKey backend, TimePoint words_known) const;
  void NoteMetered(Placement* placement, TimePoint now) const;
  void FindHolders(const RequestProfile& profile, const std::vector<PoolMember>& members,
                   const RegionSet& allowed, TimePoint now, PlacementView* view) const;
  static void NoteHolder(const Holder& holder, PlacementView* view);
  bool MayShareMemory(const Backend& left, const Backend& right) const;
  Holder HolderFor(const Backend& backend, const PlacementView& view) const;
  std::optional<Placement> Choose(const Requester& requester, const RequestProfile& profile,
                                  const std::vector<BackendKey>& tried, TimePoint now,
                                  const GrantAuthority& right);
  Estimate EstimatePrompt(const RequestProfile& profile, const Candidate& candidate,
                          const PlacementView& view) const;
  Estimate EstimateGeneration(const RequestProfile& profile, const Candidate& candidate,
                              const PlacementView& view, TimePoint now) const;
  Estimate EstimatePlain(const Candidate& candidate, const PlacementView& view,
                         TimePoint now) const;
  double PrefillMillis(int64_t held_tokens, int64_t prompt_tokens) const;
  double WayLoss(const Backend& backend, const Requester& requester, TimePoint now) const;
  double BacklogMillis(BackendKey backend, TimePoint now) const;
  double SlownessOf(BackendKey backend, TimePoint now) const;
  double BreakChance(BackendKey backend, double backlog_ms, double prefill_ms,
                     Duration bound) const;
  double LossOfStreams(const Backend& backend, double backlog_ms, double prefill_ms) const;
  double OwnLateProbability(const RequestProfile& profile, const Backend& backend,
                            double first_output_ms, double backlog_ms, TimePoint now) const;
  double WaitForSlotMillis(const RequestProfile& profile, const Backend& backend,
                           const BackendLoad& load) const;
  double CrowdingLoss(const Backend& backend, const BackendLoad& load) const;
  double LossElsewhere(const RequestProfile& profile, const Candidate& candidate,
                       double prefill_ms) const;
  bool IsOff(Mechanism mechanism) const { return policy_.disabled.Has(mechanism); }
  bool IsDisturbing(BackendKey backend, double prefill_ms) const;
  double FailureShareOf(BackendKey backend, TimePoint now) const;
  std::vector<BackendLoadEntry> OwnLoads(const std::string& without, TimePoint now) const;
  void AddFailing(std::vector<BackendLoadEntry>* loads, TimePoint now) const;
  void Begin(const RequestProfile& profile, AttemptOrigin origin, Placement* placement,
             TimePoint now);
  void BeginPrompt(const RequestProfile& profile, Running* running, TimePoint now);
  void NotePrefixes(const RequestProfile& profile, BackendKey backend, AttemptOrigin origin,
                    TimePoint now);

  PlacementPolicy policy_;
  std::string zone_;
  BackendRegistry registry_;
  BackendHealth health_;
  ColdBackEnds cold_;
  GrantLimiter grants_;
  BrittleBackEnds brittle_;
  std::unordered_map<std::string, RetrySchedule> returns_;  // by service
  PauseModel pauses_;
  StreamRisk risk_;
  PrefillBacklog backlog_;
  RunTimes run_times_;
  LoadLedger loads_;
  PrefixDirectory prefixes_;
  ServiceWorkView work_;
  ServicePools pools_;
  std::minstd_rand draws_;  // of members of large pools
  std::unordered_map<PlacementTicket, Running> running_;
  std::vector<PrefixPlacement> new_prefixes_;
  PlacementTicket next_ticket_ = 1;
};

}  // namespace cartsail
