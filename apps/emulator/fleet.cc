#include "fleet.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

#include "cartsail/base/status.h"
#include "engine_model.h"
#include "event_queue.h"
#include "fleet_node.h"

namespace cartsail::emulator {
namespace {

constexpr Duration kSameZoneLatency = std::chrono::microseconds(100);
constexpr Duration kEngineLatency = std::chrono::microseconds(300);
constexpr Duration kHeartbeatInterval = milliseconds(250);
constexpr uint64_t kHeartbeatsPerDigest = 4;
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kReportInterval = seconds(1);
constexpr Duration kPlatformLatency = milliseconds(3);
constexpr Duration kPlatformTimeout = seconds(2);
constexpr Duration kClaimTimeout = seconds(2);
constexpr Duration kAskAgainPause = milliseconds(50);
constexpr Duration kCallerRetryPause = milliseconds(200);
constexpr Duration kBlindRetryPause = milliseconds(100);
constexpr double kWindowSeconds = 30;
constexpr int kLongestTailSeconds = 600;
constexpr size_t kRelaysPerZone = 2;

// One request over its attempts.
struct Request {
  RequestId id = 0;  // of the current slot request
  uint64_t sequence = 0;
  const TrafficClass* traffic = nullptr;
  size_t class_index = 0;
  TimePoint arrival;
  int64_t output_tokens = 0;
  uint64_t prefix = 0;
  int64_t delivered = 0;  // tokens the caller has
  size_t node = 0;        // entry node
  int engine = -1;        // where it runs
  TimePoint granted;
  TimePoint first_token{};
  bool claimed = false;
  bool started = false;
  bool done = false;
  int attempt = 0;
};

using RequestPtr = std::shared_ptr<Request>;

struct HollowEngine {
  std::string id;
  std::string zone;
  std::unique_ptr<EngineModel> model;
  bool up = true;
  uint64_t version = 0;                              // of the scheduled model event
  std::unordered_map<uint64_t, RequestPtr> running;  // by sequence
};

class Fleet {
 public:
  Fleet(const Workload& workload, const FleetOptions& options)
      : workload_(workload), options_(options), random_(options.seed) {}

  FleetReport Run() {
    start_ = events_.Time();
    MakeEngines();
    MakeNodes();
    for (size_t i = 0; i < workload_.classes.size(); ++i) ScheduleArrival(i, start_);
    for (const FleetFault& fault : options_.faults) {
      events_.At(start_ + FromSeconds(fault.at), [this, fault] { Apply(fault); });
    }
    events_.RunUntil(start_ + FromSeconds(options_.seconds));
    // What is still under way is wanted too: work counts as wasted only when nobody got it.
    for (int i = 0; i < kLongestTailSeconds && ended_ < requests_; ++i) {
      events_.RunUntil(events_.Time() + seconds(1));
    }
    return Report();
  }

 private:
  // ---- building

  std::string ZoneName(int index) const {
    return fmt::format("z{}", index % workload_.topology.zones);
  }

  void MakeEngines() {
    const Topology& topology = workload_.topology;
    for (int i = 0; i < topology.engines; ++i) {
      HollowEngine engine;
      engine.id = fmt::format("e{}", i);
      engine.zone = ZoneName(i);
      engine_index_[engine.id] = i;
      engines_.push_back(std::move(engine));
      StartEngine(i);
    }
  }

  void StartEngine(int index) {
    HollowEngine& engine = engines_[static_cast<size_t>(index)];
    const Topology& topology = workload_.topology;
    EngineModelOptions model;
    model.batch_limit = topology.batch_limit;
    model.base_step = topology.base_step;
    model.per_sequence_step = topology.per_sequence_step;
    engine.model = std::make_unique<EngineModel>(model, events_.Time());
    engine.up = true;
    const int slow = static_cast<int>(topology.slow_engine_share * topology.engines);
    if (index < slow) engine.model->SetSpeed(topology.slow_speed, events_.Time());
  }

  EngineQueuePolicy QueuePolicy() const {
    const FleetPolicy& policy = options_.policy;
    EngineQueuePolicy queue;
    queue.initial_window = workload_.topology.batch_limit;
    queue.max_window = workload_.topology.batch_limit;
    queue.headroom_limit = policy.headroom_limit;
    queue.preempt_after = policy.preempt_after;
    queue.adapt_window = policy.adapt_window;
    queue.tier_shares.fill(policy.tier_share);
    queue.admission_floor = policy.admission_floor;
    return queue;
  }

  void MakeNodes() {
    for (int i = 0; i < workload_.topology.nodes; ++i) {
      node_index_[fmt::format("n{}", i)] = static_cast<size_t>(i);
      nodes_.push_back(nullptr);
      up_.push_back(0);
    }
    for (size_t i = 0; i < nodes_.size(); ++i) StartNode(i, true);
  }

  bool FullView() const { return workload_.topology.nodes <= options_.full_view_limit; }

  bool Sees(const std::string& zone, const std::string& other) const {
    return FullView() || zone == other;
  }

  // `settled`: the fleet has been up before the run began.
  void StartNode(size_t index, bool settled) {
    const TimePoint now = events_.Time();
    SelectorPolicy selector;
    selector.prefix_affinity = options_.policy.prefix_affinity;
    auto node =
        std::make_unique<HollowNode>(fmt::format("n{}", index), ZoneName(static_cast<int>(index)),
                                     QueuePolicy(), selector, random_(), now);
    std::vector<EngineInfo> infos;
    for (const HollowEngine& engine : engines_) {
      if (Sees(node->zone, engine.zone)) infos.push_back({engine.id, "m", engine.zone, false});
    }
    node->entry.Selector().SetEngines(infos);
    std::vector<Member> listed;
    for (size_t other = 0; other < nodes_.size(); ++other) {
      const std::string zone = ZoneName(static_cast<int>(other));
      if (other == index || !Sees(node->zone, zone)) continue;
      Member member;
      member.id = fmt::format("n{}", other);
      member.zone = zone;
      listed.push_back(std::move(member));
    }
    node->claims.SetInterval(ClaimInterval(workload_.topology.zones));
    node->members.SetListed(listed);
    if (settled) {
      for (const Member& member : listed) {
        node->members.Heard(member.id, member.zone, "", false, now);
      }
    }
    nodes_[index] = std::move(node);
    ++incarnation_[index];
    up_[index] = 1;
    RefreshOwners(index);
    LoadConfig(index, settled);
    std::uniform_real_distribution<double> phase(0, 1);
    ScheduleHeartbeat(index, incarnation_[index],
                      FromSeconds(phase(random_) * ToSeconds(kHeartbeatInterval)));
    ScheduleTick(index, incarnation_[index],
                 FromSeconds(phase(random_) * ToSeconds(kTickInterval)));
    if (!options_.policy.owners) ScheduleReport(index, incarnation_[index]);
  }

  // A start reads the settings and the machine list from the platform if the node is one of its
  // zone's relays, else from peers; without any it asks the platform later.
  void LoadConfig(size_t index, bool settled) {
    if (settled) return;
    if (nodes_[index]->members.OwnRank("relay") < kRelaysPerZone) {
      CountPlatformCall();
      CountPlatformCall();
      return;
    }
    const uint64_t incarnation = incarnation_[index];
    std::uniform_real_distribution<double> jitter(1.5, 4.5);
    events_.After(FromSeconds(jitter(random_)), [this, index, incarnation] {
      if (!IsUp(index, incarnation)) return;
      if (nodes_[index]->members.LiveCount() > 1) return;  // a peer gave it
      CountPlatformCall();
      CountPlatformCall();
    });
  }

  bool IsUp(size_t index, uint64_t incarnation) const {
    return up_[index] != 0 && incarnation_.at(index) == incarnation;
  }
  bool IsUp(size_t index) const { return up_[index] != 0; }

  // ---- time and messages

  Duration Latency(size_t from, size_t to) const {
    return nodes_[from]->zone == nodes_[to]->zone ? kSameZoneLatency
                                                  : workload_.topology.zone_latency;
  }

  // Delivers `work` at node `to` unless it has died meanwhile; then `lost` runs at the sender.
  void Send(size_t from, size_t to, std::function<void()> work,
            std::function<void()> lost = nullptr) {
    if (from != to) ++messages_;
    const uint64_t incarnation = incarnation_[to];
    const Duration delay = from == to ? Duration(0) : Latency(from, to);
    events_.After(delay, [this, to, incarnation, work = std::move(work), lost = std::move(lost)] {
      if (IsUp(to, incarnation)) {
        work();
      } else if (lost) {
        lost();
      }
    });
  }

  // Runs decision logic and, when asked for, adds up the real time it took.
  template <typename Work>
  auto Decide(Work work) {
    if (!options_.measure_cost) return work();
    const TimePoint before = Now();
    auto result = work();
    decision_time_ += Now() - before;
    return result;
  }

  void ScheduleHeartbeat(size_t index, uint64_t incarnation, Duration delay) {
    events_.After(delay, [this, index, incarnation] {
      if (!IsUp(index, incarnation)) return;
      SendHeartbeats(index, ++nodes_[index]->heartbeats % kHeartbeatsPerDigest == 0);
      ScheduleHeartbeat(index, incarnation, IntervalOf(index));
    });
  }

  Duration IntervalOf(size_t index) const {
    return HeartbeatInterval(kHeartbeatInterval, nodes_[index]->members.Peers().size());
  }

  void SendHeartbeats(size_t index, bool with_digests) {
    HollowNode& node = *nodes_[index];
    auto digests = std::make_shared<std::vector<OwnedDigest>>();
    if (with_digests) *digests = Decide([&] { return node.owned.Digests(events_.Time()); });
    for (const OwnedDigest& owned : *digests) {
      node.entry.Selector().UpdateDigest(owned.engine, owned.digest);
    }
    for (const Member* peer : node.members.Peers()) {
      const size_t to = node_index_[peer->id];
      ++heartbeats_;
      Send(index, to, [this, index, to, digests, zone = node.zone] {
        HollowNode& receiver = *nodes_[to];
        const std::string& sender = NodeName(index);
        const bool changed = Decide([&] {
          for (const OwnedDigest& owned : *digests) {
            receiver.entry.Selector().UpdateDigest(owned.engine, owned.digest);
          }
          return receiver.members.Heard(sender, zone, "", false, events_.Time(), IntervalOf(index));
        });
        if (changed) RefreshOwners(to);
      });
    }
  }

  const std::string& NodeName(size_t index) {
    std::string& name = node_names_[index];
    if (name.empty()) name = fmt::format("n{}", index);
    return name;
  }

  void ScheduleTick(size_t index, uint64_t incarnation, Duration delay) {
    events_.After(delay, [this, index, incarnation] {
      if (!IsUp(index, incarnation)) return;
      HollowNode& node = *nodes_[index];
      const TimePoint now = events_.Time();
      const std::vector<std::string> suspects = Decide([&] { return node.members.Tick(now); });
      for (const std::string& suspect : suspects) {
        RunOwner(index, node.owned.DropNode(suspect, now));
      }
      if (!suspects.empty()) RefreshOwners(index);
      RunOwner(index, Decide([&] { return node.owned.Tick(now); }));
      ScheduleTick(index, incarnation, kTickInterval);
    });
  }

  void RefreshOwners(size_t index) {
    if (!options_.policy.owners) return;
    HollowNode& node = *nodes_[index];
    std::vector<std::string> mine;
    std::vector<std::string> moved;
    for (const HollowEngine& engine : engines_) {
      if (!Sees(node.zone, engine.zone)) continue;
      std::string owner = node.members.OwnerOf(engine.id, engine.zone);
      if (owner == node.id) mine.push_back(engine.id);
      std::string& known = node.owners[engine.id];
      if (known == owner) continue;
      known = std::move(owner);
      moved.push_back(engine.id);
    }
    RunOwner(index, node.owned.SetOwned(mine, events_.Time()));
    const std::set<std::string> in_use = node.entry.EnginesInUse();
    for (const std::string& engine : moved) {
      if (!in_use.contains(engine)) continue;
      Announce(index, engine);
      RunEntry(index, node.entry.OnOwnerChanged(engine, events_.Time()));
    }
  }

  void Announce(size_t index, const std::string& engine) {
    const std::string& owner = nodes_[index]->owners[engine];
    if (owner.empty()) return;
    const size_t to = node_index_[owner];
    Send(index, to, [this, index, to, engine, running = nodes_[index]->entry.RunningAt(engine)] {
      RunOwner(to, nodes_[to]->owned.Announce(engine, NodeName(index), running, events_.Time()));
    });
  }

  // ---- traffic

  void ScheduleArrival(size_t class_index, TimePoint from) {
    const TrafficClass& traffic = workload_.classes[class_index];
    const double rate = traffic.RateAt(ToSeconds(from - start_)) * options_.rate_factor;
    std::exponential_distribution<double> gap(std::max(rate, 1e-3));
    const TimePoint at = from + FromSeconds(gap(random_));
    if (ToSeconds(at - start_) >= options_.seconds) return;
    events_.At(at, [this, class_index, at] {
      Arrive(class_index);
      ScheduleArrival(class_index, at);
    });
  }

  void Arrive(size_t class_index) {
    auto request = std::make_shared<Request>();
    request->traffic = &workload_.classes[class_index];
    request->class_index = class_index;
    request->arrival = events_.Time();
    request->output_tokens = request->traffic->DrawOutputTokens(random_);
    if (request->traffic->shared_prefix_tokens > 0) {
      request->prefix =
          1 + class_index * 1000 + random_() % static_cast<uint64_t>(request->traffic->prefixes);
    }
    ++requests_;
    Enter(request, EntryPurpose::kFirst);
  }

  // A request comes to a random live node, as from a balancer.
  void Enter(const RequestPtr& request, EntryPurpose purpose) {
    std::vector<size_t>& ready = ready_nodes_;
    ready.clear();
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (IsUp(i)) ready.push_back(i);
    }
    if (ready.empty()) {
      events_.After(kCallerRetryPause, [this, request, purpose] { Enter(request, purpose); });
      return;
    }
    request->node = ready[random_() % ready.size()];
    Acquire(request, purpose);
  }

  void Acquire(const RequestPtr& request, EntryPurpose purpose) {
    if (!options_.policy.owners) {
      SendAlone(request, purpose);
      return;
    }
    const TrafficClass& traffic = *request->traffic;
    EntryRequest entry;
    entry.id = request->id = next_id_++;
    entry.tenant = "t";
    entry.class_key = traffic.name;
    entry.model = "m";
    entry.tier = traffic.tier;
    entry.max_wait = traffic.max_wait;
    entry.ttft_target = traffic.ttft_target;
    entry.preemptible = traffic.repeatable;
    entry.prefix_hash = request->prefix;
    entry.arrival = request->arrival;
    entry.purpose = purpose;
    entry.retry_ratio = std::max(0.0, options_.policy.retry_ratio);
    entry.limits = {1e9, 1e9};
    // Without a budget a retry counts like the continuation of a preempted request.
    if (options_.policy.retry_ratio < 0 && purpose == EntryPurpose::kRetry) {
      entry.purpose = EntryPurpose::kContinuation;
    }
    by_id_[entry.id] = request;
    const size_t node = request->node;
    RunEntry(node, Decide([&] { return nodes_[node]->entry.Acquire(entry, events_.Time()); }));
  }

  void RunEntry(size_t node, const EntryActions& actions) {
    for (const EntryAction& action : actions) RunEntryAction(node, action);
  }

  void RunEntryAction(size_t node, const EntryAction& action) {
    switch (action.kind) {
      case EntryAction::Kind::kAsk:
        Ask(node, action);
        break;
      case EntryAction::Kind::kGranted:
        OnGranted(node, action);
        break;
      case EntryAction::Kind::kRefused:
        OnRefused(action);
        break;
      case EntryAction::Kind::kRelease:
        SendRelease(node, nodes_[node]->owners[action.engine], action.engine, action.id,
                    action.report);
        break;
      case EntryAction::Kind::kWithdraw:
      case EntryAction::Kind::kReturn: {
        const auto asked = nodes_[node]->asked.find(action.ask);
        if (asked == nodes_[node]->asked.end()) break;
        SendRelease(node, asked->second, action.engine, action.id, {.started = false});
        break;
      }
    }
  }

  void Ask(size_t node, const EntryAction& action) {
    const std::string owner = nodes_[node]->owners[action.engine];
    nodes_[node]->asked[action.ask] = owner;
    if (owner.empty()) {
      Unreached(node, action.id, action.ask);
      return;
    }
    const size_t to = node_index_[owner];
    asks_[{to, action.id}] = {node, action.ask};
    Send(
        node, to,
        [this, to, action] {
          RunOwner(to, Decide([&] {
                     return nodes_[to]->owned.Submit(action.engine, action.item, events_.Time());
                   }));
        },
        [this, node, action] { Unreached(node, action.id, action.ask); });
  }

  void Unreached(size_t node, RequestId id, uint64_t ask) {
    const uint64_t incarnation = incarnation_[node];
    events_.After(kAskAgainPause, [this, node, incarnation, id, ask] {
      if (!IsUp(node, incarnation)) return;
      AskReply reply;
      reply.reached = false;
      RunEntry(node, nodes_[node]->entry.OnReply(id, ask, reply, events_.Time()));
    });
  }

  void SendRelease(size_t node, const std::string& owner, const std::string& engine, RequestId id,
                   const ServiceReport& report) {
    if (owner.empty()) return;
    const size_t to = node_index_[owner];
    Send(node, to, [this, node, to, engine, id, report] {
      RunOwner(to, Decide([&] {
                 return nodes_[to]->owned.Release(engine, id, report, events_.Time());
               }));
      const QueueDigest digest = nodes_[to]->owned.DigestOf(engine, events_.Time());
      Send(to, node, [this, node, engine, digest] {
        nodes_[node]->entry.Selector().UpdateDigest(engine, digest);
      });
    });
  }

  void RunOwner(size_t owner, const OwnerActions& actions) {
    for (const OwnerAction& owner_action : actions) {
      const QueueAction& action = owner_action.action;
      if (action.kind == QueueAction::Kind::kPreempt) {
        ++preemptions_;
        Send(owner, node_index_[action.node], [this, id = action.id] { OnPreempt(id); });
        continue;
      }
      const auto ask = asks_.find({owner, action.id});
      if (ask == asks_.end()) continue;
      const auto [node, number] = ask->second;
      asks_.erase(ask);
      AskReply reply;
      reply.granted = action.kind == QueueAction::Kind::kGrant;
      reply.reason = action.reason;
      reply.retry_after = action.retry_after;
      reply.digest = nodes_[owner]->owned.DigestOf(owner_action.engine, events_.Time());
      reply.has_digest = true;
      const bool wrong = !reply.granted && reply.reason == RejectReason::kNotOwner;
      const auto deliver = [this, node = node, number = number, id = action.id, reply] {
        RunEntry(node, Decide([&] {
                   return nodes_[node]->entry.OnReply(id, number, reply, events_.Time());
                 }));
      };
      if (!wrong) {
        Send(owner, node, deliver);
        continue;
      }
      const uint64_t incarnation = incarnation_[node];
      events_.After(kAskAgainPause, [this, node = node, incarnation, deliver] {
        if (IsUp(node, incarnation)) deliver();
      });
    }
  }

  void OnGranted(size_t node, const EntryAction& action) {
    const auto found = by_id_.find(action.id);
    if (found == by_id_.end()) return;
    const RequestPtr request = found->second;
    request->engine = engine_index_[action.engine];
    request->granted = events_.Time();
    if (!request->traffic->repeatable && !request->claimed) {
      Claim(node, request);
      return;
    }
    StartOnEngine(request);
  }

  void OnRefused(const EntryAction& action) {
    const auto found = by_id_.find(action.id);
    if (found == by_id_.end()) return;
    const RequestPtr request = found->second;
    by_id_.erase(found);
    switch (action.refusal) {
      case EntryRefusal::kQueueTimeout:
        Fail(request, "queue_timeout");
        break;
      case EntryRefusal::kRetryDenied:
        Fail(request, "retry_denied");
        break;
      case EntryRefusal::kNoBackend:
        Fail(request, "no_backend");
        break;
      default:
        Fail(request, "overloaded");
        break;
    }
  }

  void Fail(const RequestPtr& request, const std::string& kind) {
    if (request->done) return;
    request->done = true;
    ++ended_;
    RequestResult result;
    result.class_name = request->traffic->name;
    result.ttft_target = request->traffic->ttft_target;
    result.error_kind = kind;
    result.outcome = request->delivered > 0 ? "partial" : request->started ? "unknown" : "not_run";
    measures_.Add(result);
  }

  // ---- claims

  void Claim(size_t node, const RequestPtr& request) {
    const std::string batcher = nodes_[node]->members.OwnerOf("claims", nodes_[node]->zone);
    const size_t to = node_index_[batcher];
    Send(
        node, to,
        [this, to, request] {
          ClaimRequest claim;
          claim.ticket = next_ticket_++;
          claim.key = std::to_string(claim.ticket);
          claim.record = {std::to_string(claim.ticket), ""};
          claim.deadline = events_.Time() + kClaimTimeout;
          claimants_[claim.ticket] = request;
          nodes_[to]->claims.Add(std::move(claim));
          PumpClaims(to);
        },
        [this, request] { EndClaim(request, false); });
  }

  void PumpClaims(size_t node) {
    HollowNode& hollow = *nodes_[node];
    DeliverClaims(hollow.claims.Expire(events_.Time()));
    const std::vector<ClaimRequest> batch = hollow.claims.TakeBatch(events_.Time());
    if (!batch.empty()) SendBatch(node, batch);
    ArmClaims(node);
  }

  void ArmClaims(size_t node) {
    HollowNode& hollow = *nodes_[node];
    const std::optional<TimePoint> next = hollow.claims.NextEvent(events_.Time());
    if (!next.has_value()) return;
    // A later call replaces the event of an earlier one, like a timer set anew.
    const uint64_t version = ++hollow.claim_timer;
    const uint64_t incarnation = incarnation_[node];
    events_.At(*next, [this, node, incarnation, version] {
      if (!IsUp(node, incarnation) || nodes_[node]->claim_timer != version) return;
      PumpClaims(node);
    });
  }

  void SendBatch(size_t node, const std::vector<ClaimRequest>& batch) {
    CountPlatformCall();
    const uint64_t incarnation = incarnation_[node];
    std::vector<ClaimRecord> holders;
    for (const ClaimRequest& claim : batch) holders.push_back(claim.record);
    const bool out = platform_out_;
    events_.After(out ? kPlatformTimeout : kPlatformLatency,
                  [this, node, incarnation, out, holders = std::move(holders)] {
                    if (!IsUp(node, incarnation)) return;
                    if (out) {
                      nodes_[node]->claims.OnFailure(events_.Time());
                    } else {
                      DeliverClaims(nodes_[node]->claims.OnReply(holders));
                    }
                    PumpClaims(node);
                  });
  }

  void DeliverClaims(const std::vector<ClaimResult>& results) {
    for (const ClaimResult& result : results) {
      const auto found = claimants_.find(result.ticket);
      if (found == claimants_.end()) continue;
      const RequestPtr request = found->second;
      claimants_.erase(found);
      EndClaim(request, result.verdict == ClaimVerdict::kWon);
    }
  }

  void EndClaim(const RequestPtr& request, bool won) {
    if (!IsUp(request->node) || request->done) return;
    if (won) {
      request->claimed = true;
      StartOnEngine(request);
      return;
    }
    ReleaseSlot(request, EntryEnd::kCancelled, {.started = false});
    Fail(request, "platform_unavailable");
  }

  void CountPlatformCall() {
    ++platform_calls_;
    const auto second = static_cast<int64_t>(ToSeconds(events_.Time() - start_));
    platform_peak_ = std::max(platform_peak_, ++calls_by_second_[second]);
  }

  // ---- engines

  void StartOnEngine(const RequestPtr& request) {
    events_.After(kEngineLatency, [this, request] {
      HollowEngine& engine = engines_[static_cast<size_t>(request->engine)];
      if (!engine.up) {
        EngineFailed(request, false);
        return;
      }
      if (request->done) return;
      request->started = true;
      request->sequence = next_sequence_++;
      SequenceRequest sequence;
      sequence.id = request->sequence;
      sequence.priority = request->traffic->tier;
      sequence.prompt_tokens = request->traffic->prompt_tokens + request->delivered;
      sequence.prefix_hash = request->prefix;
      sequence.prefix_tokens = request->traffic->shared_prefix_tokens;
      sequence.output_tokens = std::max<int64_t>(1, request->output_tokens - request->delivered);
      engine.running[request->sequence] = request;
      engine.model->Submit(sequence, events_.Time());
      AfterEngine(request->engine);
    });
  }

  // Takes what the model has to tell and schedules its next event.
  void AfterEngine(int index) {
    HollowEngine& engine = engines_[static_cast<size_t>(index)];
    for (const uint64_t sequence : engine.model->TakeStarted()) {
      const auto found = engine.running.find(sequence);
      if (found == engine.running.end()) continue;
      Request& request = *found->second;
      if (request.first_token == TimePoint()) {
        request.first_token = events_.Time() + kEngineLatency;
      }
    }
    for (const uint64_t sequence : engine.model->TakeFinished()) {
      const auto found = engine.running.find(sequence);
      if (found == engine.running.end()) continue;
      const RequestPtr request = found->second;
      engine.running.erase(found);
      Finish(request);
    }
    const uint64_t version = ++engine.version;
    const std::optional<TimePoint> next = engine.model->NextEvent();
    if (!next.has_value()) return;
    events_.At(*next, [this, index, version] {
      HollowEngine& current = engines_[static_cast<size_t>(index)];
      if (current.version != version || !current.up) return;
      current.model->Advance(events_.Time());
      AfterEngine(index);
    });
  }

  void Finish(const RequestPtr& request) {
    if (request->done) return;
    request->done = true;
    ++ended_;
    RequestResult result;
    result.class_name = request->traffic->name;
    result.completed = true;
    result.first_token = request->first_token - request->arrival;
    result.ttft_target = request->traffic->ttft_target;
    result.tokens = request->output_tokens;
    if (result.tokens > 1) {
      result.token_interval = (events_.Time() - request->first_token) / (result.tokens - 1);
    }
    measures_.Add(result);
    NoteProgress(*request, result);
    ServiceReport report;
    report.first_token = request->first_token - request->granted;
    if (report.first_token < Duration(0)) report.first_token = Duration(0);
    report.tokens = result.tokens;
    report.token_interval = result.token_interval;
    report.interval_target = request->traffic->interval_target;
    ReleaseSlot(request, EntryEnd::kServed, report);
  }

  // For windows of the lowest tier and the recovery of the highest.
  void NoteProgress(const Request& request, const RequestResult& result) {
    const double arrival = ToSeconds(request.arrival - start_);
    if (request.traffic->tier == LowestTier()) {
      const double now = ToSeconds(events_.Time() - start_);
      ++lowest_windows_[static_cast<int64_t>(now / kWindowSeconds)];
    }
    if (request.traffic->tier == TopTier()) {
      auto& [total, good] = top_seconds_[static_cast<int64_t>(arrival)];
      ++total;
      if (result.WithinTarget()) ++good;
    }
  }

  int TopTier() const {
    int tier = kSchedulerTiers;
    for (const TrafficClass& traffic : workload_.classes) tier = std::min(tier, traffic.tier);
    return tier;
  }

  int LowestTier() const {
    int tier = 0;
    for (const TrafficClass& traffic : workload_.classes) tier = std::max(tier, traffic.tier);
    return tier;
  }

  void ReleaseSlot(const RequestPtr& request, EntryEnd end, const ServiceReport& report) {
    by_id_.erase(request->id);
    if (!options_.policy.owners || !IsUp(request->node)) return;
    const size_t node = request->node;
    RunEntry(node, Decide([&] {
               return nodes_[node]->entry.Release(request->id, end, report, events_.Time());
             }));
  }

  void OnPreempt(RequestId id) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) return;
    const RequestPtr request = found->second;
    if (request->engine < 0 || request->done) return;
    HollowEngine& engine = engines_[static_cast<size_t>(request->engine)];
    if (!engine.running.contains(request->sequence)) return;
    const std::optional<int64_t> generated =
        engine.model->Cancel(request->sequence, events_.Time());
    engine.running.erase(request->sequence);
    AfterEngine(request->engine);
    if (options_.policy.continuation) request->delivered += generated.value_or(0);
    ReleaseSlot(request, EntryEnd::kCancelled, {});
    Acquire(request, EntryPurpose::kContinuation);
  }

  // The engine broke off or was not there.
  void EngineFailed(const RequestPtr& request, bool ran) {
    if (request->done) return;
    ReleaseSlot(request, EntryEnd::kFailed, {.started = ran});
    if (!IsUp(request->node)) return;
    if (ran && !request->traffic->repeatable) {
      Fail(request, "backend_failed");
      return;
    }
    if (ran) ++retries_;
    Acquire(request, ran ? EntryPurpose::kRetry : EntryPurpose::kContinuation);
  }

  // ---- the baseline: every node alone

  void ScheduleReport(size_t index, uint64_t incarnation) {
    events_.After(kReportInterval, [this, index, incarnation] {
      if (!IsUp(index, incarnation)) return;
      for (const HollowEngine& engine : engines_) {
        nodes_[index]->reported_load[engine.id] =
            engine.up ? engine.model->Running() + engine.model->Queued() : 1e6;
      }
      ScheduleReport(index, incarnation);
    });
  }

  void SendAlone(const RequestPtr& request, EntryPurpose purpose) {
    HollowNode& node = *nodes_[request->node];
    std::vector<int> visible;
    for (size_t i = 0; i < engines_.size(); ++i) {
      if (Sees(node.zone, engines_[i].zone)) visible.push_back(static_cast<int>(i));
    }
    const int first = visible[random_() % visible.size()];
    const int second = visible[random_() % visible.size()];
    double& load_first = node.reported_load[engines_[static_cast<size_t>(first)].id];
    double& load_second = node.reported_load[engines_[static_cast<size_t>(second)].id];
    request->engine = load_first <= load_second ? first : second;
    (load_first <= load_second ? load_first : load_second) += 1;
    request->granted = events_.Time();
    const int attempt = ++request->attempt;
    StartOnEngine(request);
    // Given up when it has waited as long as its class allows.
    events_.At(request->arrival + request->traffic->max_wait, [this, request, attempt] {
      if (request->done || request->first_token != TimePoint() || request->attempt != attempt) {
        return;
      }
      HollowEngine& engine = engines_[static_cast<size_t>(request->engine)];
      if (engine.running.erase(request->sequence) > 0) {
        engine.model->Cancel(request->sequence, events_.Time());
        AfterEngine(request->engine);
      }
      Fail(request, "queue_timeout");
    });
  }

  // ---- faults

  void Apply(const FleetFault& fault) {
    const Duration length = FromSeconds(fault.seconds);
    if (first_fault_ < 0) first_fault_ = fault.at;
    switch (fault.kind) {
      case FleetFault::Kind::kEngineCrash:
        for (int i = 0; i < fault.count; ++i) CrashEngine(i, length);
        break;
      case FleetFault::Kind::kEngineSlow:
        for (int i = 0; i < fault.count; ++i) SlowEngine(i, fault.speed, length);
        break;
      case FleetFault::Kind::kNodeKill:
        for (int i = 0; i < fault.count; ++i) KillNode(static_cast<size_t>(i), length);
        break;
      case FleetFault::Kind::kZoneCut:
        for (size_t i = 0; i < nodes_.size(); ++i) {
          if (ZoneName(static_cast<int>(i)) == ZoneName(0)) KillNode(i, length);
        }
        break;
      case FleetFault::Kind::kRestartAll:
        for (size_t i = 0; i < nodes_.size(); ++i) KillNode(i, length);
        break;
      case FleetFault::Kind::kPlatformOut:
        platform_out_ = true;
        events_.After(length, [this] { platform_out_ = false; });
        break;
    }
  }

  void CrashEngine(int index, Duration length) {
    HollowEngine& engine = engines_[static_cast<size_t>(index)];
    if (!engine.up) return;
    engine.model->Advance(events_.Time());
    AfterEngine(index);
    engine.up = false;
    std::vector<RequestPtr> lost;
    for (const auto& [sequence, request] : engine.running) {
      if (options_.policy.continuation && options_.policy.owners) {
        request->delivered += engine.model->Generated(sequence);
      }
      lost.push_back(request);
    }
    computed_by_crashed_ += engine.model->Counters().tokens_generated;
    engine.running.clear();
    std::sort(lost.begin(), lost.end(),
              [](const auto& a, const auto& b) { return a->sequence < b->sequence; });
    events_.After(length, [this, index] { StartEngine(index); });
    for (const RequestPtr& request : lost) {
      events_.After(kEngineLatency, [this, request] {
        if (!options_.policy.owners && request->traffic->repeatable) {
          ++retries_;
          events_.After(kBlindRetryPause,
                        [this, request] { Acquire(request, EntryPurpose::kRetry); });
          return;
        }
        EngineFailed(request, true);
      });
    }
  }

  void SlowEngine(int index, double speed, Duration length) {
    engines_[static_cast<size_t>(index)].model->SetSpeed(speed, events_.Time());
    AfterEngine(index);
    events_.After(length, [this, index] {
      if (!engines_[static_cast<size_t>(index)].up) return;
      engines_[static_cast<size_t>(index)].model->SetSpeed(1, events_.Time());
      AfterEngine(index);
    });
  }

  void KillNode(size_t index, Duration length) {
    if (!IsUp(index)) return;
    up_[index] = 0;
    std::vector<RequestPtr> orphans;
    for (const auto& [id, request] : by_id_) {
      if (request->node == index) orphans.push_back(request);
    }
    std::sort(orphans.begin(), orphans.end(),
              [](const auto& a, const auto& b) { return a->id < b->id; });
    for (const RequestPtr& request : orphans) {
      by_id_.erase(request->id);
      // Streams run on at the engine; their callers resume them through other nodes. What waited
      // comes again.
      const bool running =
          request->engine >= 0 &&
          engines_[static_cast<size_t>(request->engine)].running.contains(request->sequence);
      events_.After(kCallerRetryPause, [this, request, running] {
        if (request->done) return;
        if (running) {
          Resume(request);
        } else {
          Enter(request, EntryPurpose::kFirst);
        }
      });
    }
    events_.After(length, [this, index] { StartNode(index, false); });
  }

  void Resume(const RequestPtr& request) {
    std::vector<size_t> ready;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (IsUp(i)) ready.push_back(i);
    }
    if (ready.empty()) {
      events_.After(kCallerRetryPause, [this, request] {
        if (!request->done) Resume(request);
      });
      return;
    }
    request->node = ready[random_() % ready.size()];
    request->id = next_id_++;
    by_id_[request->id] = request;
    WorkItem item;
    item.id = request->id;
    item.tier = request->traffic->tier;
    const std::string& engine = engines_[static_cast<size_t>(request->engine)].id;
    if (!options_.policy.owners) return;
    nodes_[request->node]->entry.Adopt(request->id, engine, item);
    Announce(request->node, engine);
  }

  // ---- report

  FleetReport Report() {
    FleetReport report;
    int64_t computed = computed_by_crashed_;
    for (HollowEngine& engine : engines_) {
      if (engine.model == nullptr || !engine.up) continue;
      engine.model->Advance(events_.Time());
      computed += engine.model->Counters().tokens_generated;
    }
    report.measures = measures_.Report(options_.seconds, computed);
    report.requests = requests_;
    report.goodput = GetDouble(report.measures, "goodput_per_s");
    report.wasted_share = GetDouble(report.measures, "wasted_share");
    for (const TrafficClass& traffic : workload_.classes) {
      const auto found = measures_.Classes().find(traffic.name);
      if (traffic.tier == TopTier() && found != measures_.Classes().end()) {
        report.top_attainment = found->second.Attainment();
      }
    }
    report.lowest_min_window = LowestMinWindow();
    const double node_seconds =
        static_cast<double>(nodes_.size()) * ToSeconds(events_.Time() - start_);
    report.messages_per_node_second = static_cast<double>(messages_) / node_seconds;
    report.heartbeats_per_node_second = static_cast<double>(heartbeats_) / node_seconds;
    report.per_request_messages = static_cast<double>(messages_ - heartbeats_) /
                                  std::max<double>(1, static_cast<double>(requests_));
    report.platform_calls = platform_calls_;
    report.platform_calls_peak = platform_peak_;
    report.preemptions = preemptions_;
    report.retries = retries_;
    report.decision_micros_per_request =
        ToSeconds(decision_time_) * 1e6 / std::max<double>(1, static_cast<double>(requests_));
    report.decision_core_share = ToSeconds(decision_time_) / node_seconds;
    report.recovery_seconds = RecoverySeconds();
    return report;
  }

  int64_t LowestMinWindow() const {
    int64_t least = -1;
    const auto windows = static_cast<int64_t>(options_.seconds / kWindowSeconds);
    for (int64_t i = 0; i < windows; ++i) {
      const auto found = lowest_windows_.find(i);
      const int64_t count = found == lowest_windows_.end() ? 0 : found->second;
      if (least < 0 || count < least) least = count;
    }
    return least;
  }

  // Seconds from the first fault to the first of five seconds in a row in which 99 in 100 of the
  // top class that arrived were within target.
  double RecoverySeconds() const {
    constexpr int kSteadySeconds = 5;
    constexpr double kGood = 0.99;
    if (first_fault_ < 0) return -1;
    int steady = 0;
    for (auto second = static_cast<int64_t>(first_fault_);
         second < static_cast<int64_t>(options_.seconds); ++second) {
      const auto found = top_seconds_.find(second);
      const bool good = found != top_seconds_.end() &&
                        static_cast<double>(found->second.second) >= kGood * found->second.first;
      steady = good ? steady + 1 : 0;
      if (steady == kSteadySeconds) {
        return static_cast<double>(second - kSteadySeconds + 1) - first_fault_;
      }
    }
    return -1;
  }

  const Workload& workload_;
  const FleetOptions& options_;
  std::mt19937_64 random_;
  EventQueue events_;
  TimePoint start_{};
  std::vector<HollowEngine> engines_;
  std::unordered_map<std::string, int> engine_index_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::vector<char> up_;
  std::unordered_map<size_t, uint64_t> incarnation_;
  std::unordered_map<std::string, size_t> node_index_;
  std::unordered_map<size_t, std::string> node_names_;
  std::vector<size_t> ready_nodes_;
  std::map<RequestId, RequestPtr> by_id_;
  std::map<std::pair<size_t, RequestId>, std::pair<size_t, uint64_t>> asks_;
  std::unordered_map<uint64_t, RequestPtr> claimants_;
  RequestId next_id_ = 1;
  uint64_t next_sequence_ = 1;
  uint64_t next_ticket_ = 1;
  bool platform_out_ = false;
  double first_fault_ = -1;
  Measures measures_;
  int64_t requests_ = 0;
  int64_t ended_ = 0;
  int64_t messages_ = 0;
  int64_t heartbeats_ = 0;
  int64_t preemptions_ = 0;
  int64_t retries_ = 0;
  int64_t computed_by_crashed_ = 0;
  int64_t platform_calls_ = 0;
  int64_t platform_peak_ = 0;
  std::map<int64_t, int64_t> calls_by_second_;
  std::map<int64_t, int64_t> lowest_windows_;
  std::map<int64_t, std::pair<int64_t, int64_t>> top_seconds_;
  Duration decision_time_{};
};

}  // namespace

const std::vector<FleetPolicy>& KnownPolicies() {
  static const std::vector<FleetPolicy> policies = {
      {.name = "alone",
       .owners = false,
       .headroom_limit = 0,
       .preempt_after = -1,
       .prefix_affinity = false,
       .continuation = false,
       .retry_ratio = -1},
      {.name = "owner", .preempt_after = -1, .prefix_affinity = false},
      {.name = "owner-headroom",
       .headroom_limit = 0.25,
       .preempt_after = -1,
       .prefix_affinity = false},
      {.name = "owner-preempt", .prefix_affinity = false},
      {.name = "owner-both", .headroom_limit = 0.25, .prefix_affinity = false},
      {.name = "full"},
      {.name = "full-fixed-window", .adapt_window = false},
      {.name = "full-restart", .continuation = false},
      {.name = "full-no-budget", .retry_ratio = -1},
  };
  return policies;
}

absl::StatusOr<FleetFault> ParseFault(const std::string& text) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "engine-crash", "engine-slow", "node-kill", "zone-cut", "restart-all", "platform-out"};
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  FleetFault fault;
  const auto name = std::find(kNames.begin(), kNames.end(), parts[0]);
  if (name == kNames.end() || parts.size() < 2 || parts.size() > 5) {
    return MakeError(ErrorKind::kInvalidArgument,
                     text + ": a fault is KIND:AT[:SECONDS[:COUNT[:SPEED]]]");
  }
  fault.kind = static_cast<FleetFault::Kind>(name - kNames.begin());
  bool numbers = absl::SimpleAtod(parts[1], &fault.at);
  if (parts.size() > 2) numbers = numbers && absl::SimpleAtod(parts[2], &fault.seconds);
  if (parts.size() > 3) numbers = numbers && absl::SimpleAtoi(parts[3], &fault.count);
  if (parts.size() > 4) numbers = numbers && absl::SimpleAtod(parts[4], &fault.speed);
  if (!numbers) return MakeError(ErrorKind::kInvalidArgument, text + ": not a number");
  return fault;
}

FleetReport RunFleet(const Workload& workload, const FleetOptions& options) {
  Fleet fleet(workload, options);
  return fleet.Run();
}

}  // namespace cartsail::emulator
