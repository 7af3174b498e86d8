#include "slot_service.h"

#include <boost/asio/post.hpp>
#include <random>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Pause before asking again when an owner cannot be reached or views of ownership differ.
constexpr Duration kAskAgainPause = milliseconds(50);

absl::Status RefusalStatus(EntryRefusal refusal) {
  switch (refusal) {
    case EntryRefusal::kUnknownModel:
      return MakeError(ErrorKind::kUnknownModel, "no back end serves this");
    case EntryRefusal::kNoBackend:
      return MakeError(ErrorKind::kNoBackend, "no back end can be reached");
    case EntryRefusal::kRateLimited:
      return MakeError(ErrorKind::kRateLimited, "the tenant's limit is reached");
    case EntryRefusal::kRetryDenied:
      return MakeError(ErrorKind::kOverloaded, "the retry budget is used up");
    case EntryRefusal::kQueueTimeout:
      return MakeError(ErrorKind::kQueueTimeout, "waited as long as the class allows");
    case EntryRefusal::kOverloaded:
      break;
  }
  return MakeError(ErrorKind::kOverloaded, "no room at this tier");
}

EntryRequest ToEntryRequest(const SlotRequest& request, int live_nodes) {
  const ClassPolicy& policy = *request.policy;
  EntryRequest entry;
  entry.id = request.id;
  entry.tenant = policy.tenant;
  entry.class_key = policy.tenant + "/" + policy.service + "/" + policy.class_name;
  entry.model = request.model;
  entry.tier = policy.tier;
  entry.max_wait = policy.max_wait;
  entry.ttft_target = policy.ttft_target;
  entry.preemptible = policy.preemptible;
  entry.prefix_hash = request.prefix_hash;
  entry.arrival = request.arrival;
  entry.purpose = request.purpose;
  entry.retry_ratio = policy.retry_budget;
  entry.limits.rate = static_cast<double>(policy.rate_limit) / live_nodes;
  entry.limits.max_in_flight = static_cast<double>(policy.max_in_flight) / live_nodes;
  entry.excluded = request.excluded;
  return entry;
}

std::string ModelOf(const Machine& machine) {
  return machine.kind == MachineKind::kService ? "service:" + machine.name : machine.name;
}

}  // namespace

SlotService::SlotService(asio::io_context& context, const NodeOptions& options,
                         MemberTable& members)
    : context_(context),
      options_(options),
      members_(members),
      entry_(options.node_id, SelectorPolicy(), std::random_device{}()),
      owned_(QueuePolicy(FleetPolicy())),
      recorder_(static_cast<size_t>(options.request_log)) {}

EngineQueuePolicy SlotService::QueuePolicy(const FleetPolicy& fleet) const {
  EngineQueuePolicy policy;
  policy.initial_window = static_cast<int>(options_.initial_window);
  policy.max_window = static_cast<int>(options_.max_window);
  if (fleet.queue_limit > 0) policy.queue_limit = static_cast<int>(fleet.queue_limit);
  policy.headroom_limit = fleet.headroom_limit;
  for (int tier = 0; tier < kSchedulerTiers; ++tier) {
    policy.tier_shares[tier] = fleet.tier_shares[tier];
  }
  return policy;
}

void SlotService::SetFleetPolicy(const FleetPolicy& fleet) { owned_.SetPolicy(QueuePolicy(fleet)); }

void SlotService::Acquire(SlotRequest request, std::function<void(SlotDecision)> done) {
  waiting_[request.id] = std::move(done);
  preempt_[request.id] = request.on_preempt;
  if (request.purpose == SlotPurpose::kRetry) GlobalCounters().retries_total.Add();
  recorder_.Asked(request);
  Run(entry_.Acquire(ToEntryRequest(request, members_.LiveCount()), Now()));
}

void SlotService::Cancel(RequestId id) {
  if (entry_.IsRunning(id)) return;  // the grant is on its way to the requester
  Run(entry_.Cancel(id));
  SlotDecision decision;
  decision.status = MakeError(ErrorKind::kCancelled, "the caller has gone");
  Finish(id, std::move(decision));
}

void SlotService::Release(RequestId id, SlotEnd end, const ServiceReport& report) {
  preempt_.erase(id);
  recorder_.Released(id);
  Run(entry_.Release(id, end, report, Now()));
}

void SlotService::Adopt(RequestId id, const std::string& engine, const WorkItem& item) {
  entry_.Adopt(id, engine, item);
  AnnounceTo(OwnerOf(engine), engine);
}

std::optional<Endpoint> SlotService::Locate(const std::string& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return std::nullopt;
  return found->second.machine.address;
}

void SlotService::Finish(RequestId id, SlotDecision decision) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  const std::function<void(SlotDecision)> done = std::move(found->second);
  waiting_.erase(found);
  if (!decision.status.ok()) preempt_.erase(id);
  recorder_.Decided(id, decision);
  decision.id = id;
  done(std::move(decision));
}

void SlotService::Run(EntryActions actions) {
  for (const EntryAction& action : actions) RunEntry(action);
}

void SlotService::RunEntry(const EntryAction& action) {
  switch (action.kind) {
    case EntryAction::Kind::kAsk:
      Ask(action);
      break;
    case EntryAction::Kind::kWithdraw:
      Withdraw(action);
      break;
    case EntryAction::Kind::kGranted: {
      SlotDecision decision;
      decision.engine = action.engine;
      const std::optional<Endpoint> endpoint = Locate(action.engine);
      if (!endpoint.has_value()) {
        decision.status = MakeError(ErrorKind::kNoBackend, "the back end has gone");
        Run(entry_.Release(action.id, SlotEnd::kRefused, {.started = false}, Now()));
      } else {
        decision.endpoint = *endpoint;
      }
      Finish(action.id, std::move(decision));
      break;
    }
    case EntryAction::Kind::kRefused: {
      SlotDecision decision;
      decision.status = RefusalStatus(action.refusal);
      decision.retry_after = action.retry_after;
      decision.retry_denied = action.refusal == EntryRefusal::kRetryDenied;
      if (decision.retry_denied) GlobalCounters().retries_denied_total.Add();
      Finish(action.id, std::move(decision));
      break;
    }
    case EntryAction::Kind::kRelease:
      SendRelease(OwnerOf(action.engine), action.engine, action.id, action.report);
      break;
    case EntryAction::Kind::kReturn:
      ReturnSlot(action);
      break;
  }
}

void SlotService::Ask(const EntryAction& action) {
  const std::string owner = OwnerOf(action.engine);
  asks_[action.ask] = {owner, action.engine, action.id};
  if (owner.empty()) {
    AskReply unreached;
    unreached.reached = false;
    DeliverLater(action.ask, unreached);
    return;
  }
  if (owner == members_.Self()) {
    local_asks_[action.id] = action.ask;
    Run(owned_.Submit(action.engine, action.item, Now()));
    return;
  }
  network_->Acquire(AddressOf(owner), {action.engine, action.item},
                    [this, ask = action.ask](const absl::StatusOr<AcquireReply>& result) {
                      AskReply reply;
                      reply.reached = result.ok();
                      if (!result.ok()) {
                        DeliverLater(ask, reply);
                        return;
                      }
                      reply.granted = result->granted;
                      reply.reason = result->reason;
                      reply.retry_after = result->retry_after;
                      reply.digest = result->digest;
                      reply.has_digest = true;
                      const bool wrong_owner =
                          !reply.granted && reply.reason == RejectReason::kNotOwner;
                      wrong_owner ? DeliverLater(ask, reply) : DeliverReply(ask, reply);
                    });
}

void SlotService::DeliverLater(uint64_t ask, AskReply reply) {
  auto timer = std::make_shared<Timer>(context_);
  timer->expires_after(kAskAgainPause);
  timer->async_wait([this, timer, ask, reply](const boost::system::error_code& error) {
    if (!error) DeliverReply(ask, reply);
  });
}

void SlotService::DeliverReply(uint64_t ask, AskReply reply) {
  const auto found = asks_.find(ask);
  if (found == asks_.end()) return;
  const RequestId id = found->second.id;
  EntryActions actions = entry_.OnReply(id, ask, reply, Now());
  Run(std::move(actions));
  asks_.erase(ask);
}

void SlotService::Withdraw(const EntryAction& action) {
  const auto found = asks_.find(action.ask);
  if (found == asks_.end()) return;
  const AskTarget target = found->second;
  if (target.node == members_.Self()) {
    asks_.erase(found);
    local_asks_.erase(action.id);
    Run(owned_.Cancel(target.engine, action.id, Now()));
  } else if (!target.node.empty()) {
    // The entry stays in asks_ until the call ends: a grant that crosses is returned.
    network_->Cancel(AddressOf(target.node), target.engine, action.id);
  }
}

void SlotService::ReturnSlot(const EntryAction& action) {
  const auto found = asks_.find(action.ask);
  if (found == asks_.end()) return;
  SendRelease(found->second.node, found->second.engine, action.id, {.started = false});
}

void SlotService::SendRelease(const std::string& node, const std::string& engine, RequestId id,
                              const ServiceReport& report) {
  if (node.empty()) return;
  if (node == members_.Self()) {
    Run(owned_.Release(engine, id, report, Now()));
    return;
  }
  network_->Release(AddressOf(node), engine, id, report,
                    [this, engine](const absl::StatusOr<QueueDigest>& digest) {
                      if (digest.ok()) entry_.Selector().UpdateDigest(engine, *digest);
                    });
}

void SlotService::Run(OwnerActions actions) {
  for (const OwnerAction& action : actions) RunOwner(action);
}

void SlotService::RunOwner(const OwnerAction& owner_action) {
  const QueueAction& action = owner_action.action;
  const std::string& engine = owner_action.engine;
  Counters& counters = GlobalCounters();
  if (action.kind == QueueAction::Kind::kPreempt) {
    counters.preemptions_total.Add();
    if (action.node == members_.Self()) {
      Preempt(action.id);
    } else {
      network_->Preempt(AddressOf(action.node), engine, action.id);
    }
    return;
  }
  const bool granted = action.kind == QueueAction::Kind::kGrant;
  if (granted) counters.grants_total.Add();
  if (!granted && action.reason == RejectReason::kQueueTimeout) {
    counters.queue_timeouts_total.Add();
  }
  if (!granted &&
      (action.reason == RejectReason::kOverloaded || action.reason == RejectReason::kEvicted)) {
    counters.sheds_total.Add();
  }
  if (action.node == members_.Self()) {
    const auto ask = local_asks_.find(action.id);
    if (ask == local_asks_.end()) return;
    AskReply reply;
    reply.granted = granted;
    reply.reason = action.reason;
    reply.retry_after = action.retry_after;
    reply.digest = owned_.DigestOf(engine, Now());
    reply.has_digest = true;
    const uint64_t number = ask->second;
    local_asks_.erase(ask);
    // Later, so that a decision never re-enters the queue that made it.
    if (!granted && action.reason == RejectReason::kNotOwner) {
      DeliverLater(number, reply);
    } else {
      asio::post(context_, [this, number, reply] { DeliverReply(number, reply); });
    }
    return;
  }
  const auto remote = remote_asks_.find({engine, action.id});
  if (remote == remote_asks_.end()) return;
  const std::function<void(AcquireReply)> reply = std::move(remote->second);
  remote_asks_.erase(remote);
  reply({granted, action.reason, action.retry_after, owned_.DigestOf(engine, Now())});
}

void SlotService::Preempt(RequestId id) {
  const auto found = preempt_.find(id);
  if (found == preempt_.end()) return;
  const std::function<void()> on_preempt = std::move(found->second);
  preempt_.erase(found);
  if (on_preempt) on_preempt();
}

void SlotService::OnPeerAcquire(AcquireRequest request, std::function<void(AcquireReply)> reply) {
  remote_asks_[{request.engine, request.item.id}] = std::move(reply);
  Run(owned_.Submit(request.engine, request.item, Now()));
}

void SlotService::OnPeerCancel(const std::string& engine, RequestId id) {
  Run(owned_.Cancel(engine, id, Now()));
  const auto found = remote_asks_.find({engine, id});
  if (found == remote_asks_.end()) return;
  const std::function<void(AcquireReply)> reply = std::move(found->second);
  remote_asks_.erase(found);
  reply({});
}

QueueDigest SlotService::OnPeerRelease(const std::string& engine, RequestId id,
                                       const ServiceReport& report) {
  Run(owned_.Release(engine, id, report, Now()));
  return owned_.DigestOf(engine, Now());
}

void SlotService::OnPeerPreempt(RequestId id) { Preempt(id); }

void SlotService::OnPeerAnnounce(const std::string& engine, const std::string& node,
                                 const std::vector<WorkItem>& running) {
  GlobalCounters().grants_adopted_total.Add(static_cast<int64_t>(running.size()));
  Run(owned_.Announce(engine, node, running, Now()));
}

void SlotService::OnHeartbeat(const Heartbeat& heartbeat) {
  for (const EngineDigest& engine : heartbeat.engines) {
    entry_.Selector().UpdateDigest(engine.engine, engine.digest);
    if (engine.leaving) entry_.Selector().MarkLeaving(engine.engine, Now());
  }
}

void SlotService::SetMachines(const std::vector<Machine>& machines) {
  std::map<std::string, EngineEntry> next;
  std::vector<EngineInfo> infos;
  for (const Machine& machine : machines) {
    if (machine.kind == MachineKind::kNode) continue;
    const bool leaving = machine.state == MachineState::kLeaving;
    EngineEntry entry{machine, OwnerOf(machine.id), leaving};
    next.emplace(machine.id, std::move(entry));
    infos.push_back({machine.id, ModelOf(machine), machine.zone, leaving});
  }
  engines_ = std::move(next);
  entry_.Selector().SetEngines(infos);
  OnMembershipChanged();
  for (const auto& [id, entry] : engines_) {
    if (entry.leaving_told) Run(owned_.SetLeaving(id));
  }
}

// Works out the owners anew; engines that moved are announced to and asked at the new owner.
void SlotService::OnMembershipChanged() {
  std::vector<std::string> mine;
  std::vector<std::string> moved;
  for (auto& [id, entry] : engines_) {
    std::string owner = members_.OwnerOf(id, entry.machine.zone);
    if (owner == members_.Self()) mine.push_back(id);
    if (owner == entry.owner) continue;
    entry.owner = std::move(owner);
    moved.push_back(id);
  }
  Run(owned_.SetOwned(mine, Now()));
  GlobalCounters().engines_owned.Set(static_cast<int64_t>(mine.size()));
  const std::set<std::string> in_use = entry_.EnginesInUse();
  for (const std::string& engine : moved) {
    if (!in_use.contains(engine)) continue;
    AnnounceTo(OwnerOf(engine), engine);
    EntryActions actions = entry_.OnOwnerChanged(engine, Now());
    GlobalCounters().acquire_failovers_total.Add(static_cast<int64_t>(actions.size()));
    Run(std::move(actions));
  }
}

void SlotService::OnNodeLost(const std::string& node) {
  Run(owned_.DropNode(node, Now()));
  const std::string address = AddressOf(node);
  if (!address.empty()) network_->DropNode(address);
}

void SlotService::AnnounceTo(const std::string& node, const std::string& engine) {
  if (node.empty()) return;
  const std::vector<WorkItem> running = entry_.RunningAt(engine);
  GlobalCounters().grants_announced_total.Add(static_cast<int64_t>(running.size()));
  if (node == members_.Self()) {
    Run(owned_.Announce(engine, node, running, Now()));
    return;
  }
  network_->Announce(AddressOf(node), engine, members_.Self(), running);
}

void SlotService::Tick(TimePoint now) { Run(owned_.Tick(now)); }

void SlotService::Reconcile(TimePoint now) {
  std::set<std::string> engines = entry_.EnginesInUse();
  const std::set<std::string> current = engines;
  engines.insert(announced_.begin(), announced_.end());
  for (const std::string& engine : engines) {
    if (OwnerOf(engine) != members_.Self()) AnnounceTo(OwnerOf(engine), engine);
  }
  announced_ = current;
  entry_.Sweep(now);
}

std::vector<EngineDigest> SlotService::Digests(TimePoint now) const {
  std::vector<EngineDigest> digests;
  for (const OwnedDigest& owned : owned_.Digests(now)) {
    const auto found = engines_.find(owned.engine);
    const bool leaving = found != engines_.end() && found->second.leaving_told;
    digests.push_back({owned.engine, owned.digest, leaving});
  }
  return digests;
}

const std::string& SlotService::OwnerOf(const std::string& engine) const {
  static const std::string nobody;
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nobody : found->second.owner;
}

std::string SlotService::AddressOf(const std::string& node) const {
  const Member* member = members_.Find(node);
  return member == nullptr ? std::string() : member->address;
}

}  // namespace cartsail
