// Requests: arrival, slots, engines, ends.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet_run.h"

namespace cartsail::emulator {

void Fleet::ScheduleArrival(size_t class_index, TimePoint from) {
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

void Fleet::Arrive(size_t class_index) {
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
  Enter(request, SlotPurpose::kFirst);
}

void Fleet::Enter(const RequestPtr& request, SlotPurpose purpose) {
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

void Fleet::Acquire(const RequestPtr& request, SlotPurpose purpose) {
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
  if (options_.policy.retry_ratio < 0 && purpose == SlotPurpose::kRetry) {
    entry.purpose = SlotPurpose::kContinuation;
  }
  by_id_[entry.id] = request;
  const size_t node = request->node;
  RunEntry(node, Decide([&] { return nodes_[node]->entry.Acquire(entry, events_.Time()); }));
}

void Fleet::RunEntry(size_t node, const EntryActions& actions) {
  for (const EntryAction& action : actions) RunEntryAction(node, action);
}

void Fleet::RunEntryAction(size_t node, const EntryAction& action) {
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

void Fleet::Ask(size_t node, const EntryAction& action) {
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

void Fleet::Unreached(size_t node, RequestId id, uint64_t ask) {
  const uint64_t incarnation = incarnation_[node];
  events_.After(kAskAgainPause, [this, node, incarnation, id, ask] {
    if (!IsUp(node, incarnation)) return;
    AskReply reply;
    reply.reached = false;
    RunEntry(node, nodes_[node]->entry.OnReply(id, ask, reply, events_.Time()));
  });
}

void Fleet::SendRelease(size_t node, const std::string& owner, const std::string& engine,
                        RequestId id, const ServiceReport& report) {
  if (owner.empty()) return;
  const size_t to = node_index_[owner];
  Send(node, to, [this, node, to, engine, id, report] {
    RunOwner(to,
             Decide([&] { return nodes_[to]->owned.Release(engine, id, report, events_.Time()); }));
    const QueueDigest digest = nodes_[to]->owned.DigestOf(engine, events_.Time());
    Send(to, node, [this, node, engine, digest] {
      nodes_[node]->entry.Selector().UpdateDigest(engine, digest);
    });
  });
}

void Fleet::RunOwner(size_t owner, const OwnerActions& actions) {
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

void Fleet::OnGranted(size_t node, const EntryAction& action) {
  const auto found = by_id_.find(action.id);
  if (found == by_id_.end()) return;
  const RequestPtr request = found->second;
  request->engine = engines_.IndexOf(action.engine);
  request->granted = events_.Time();
  if (!request->traffic->repeatable && !request->claimed) {
    Claim(node, request);
    return;
  }
  StartOnEngine(request);
}

void Fleet::OnRefused(const EntryAction& action) {
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

void Fleet::Fail(const RequestPtr& request, const std::string& kind) {
  if (request->done) return;
  request->done = true;
  RequestResult result;
  result.class_name = request->traffic->name;
  result.ttft_target = request->traffic->ttft_target;
  result.error_kind = kind;
  result.outcome = request->delivered > 0 ? "partial" : request->started ? "unknown" : "not_run";
  recorder_.Add(*request->traffic, request->arrival, events_.Time(), result);
}

void Fleet::StartOnEngine(const RequestPtr& request) {
  events_.After(kEngineLatency, [this, request] {
    if (!engines_.IsUp(request->engine)) {
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
    running_[request->sequence] = request;
    engines_.Submit(request->engine, sequence);
  });
}

void Fleet::OnStarted(uint64_t sequence) {
  const auto found = running_.find(sequence);
  if (found == running_.end() || found->second->first_token != TimePoint()) return;
  found->second->first_token = events_.Time() + kEngineLatency;
}

void Fleet::OnFinished(uint64_t sequence) {
  const auto found = running_.find(sequence);
  if (found == running_.end()) return;
  const RequestPtr request = found->second;
  running_.erase(found);
  Finish(request);
}

void Fleet::Finish(const RequestPtr& request) {
  if (request->done) return;
  request->done = true;
  RequestResult result;
  result.class_name = request->traffic->name;
  result.completed = true;
  result.first_token = request->first_token - request->arrival;
  result.ttft_target = request->traffic->ttft_target;
  result.tokens = request->output_tokens;
  if (result.tokens > 1) {
    result.token_interval = (events_.Time() - request->first_token) / (result.tokens - 1);
  }
  recorder_.Add(*request->traffic, request->arrival, events_.Time(), result);
  ServiceReport report;
  report.first_token = request->first_token - request->granted;
  if (report.first_token < Duration(0)) report.first_token = Duration(0);
  report.tokens = result.tokens;
  report.token_interval = result.token_interval;
  report.interval_target = request->traffic->interval_target;
  ReleaseSlot(request, SlotEnd::kServed, report);
}

void Fleet::ReleaseSlot(const RequestPtr& request, SlotEnd end, const ServiceReport& report) {
  by_id_.erase(request->id);
  if (!options_.policy.owners || !IsUp(request->node)) return;
  const size_t node = request->node;
  RunEntry(node, Decide([&] {
             return nodes_[node]->entry.Release(request->id, end, report, events_.Time());
           }));
}

void Fleet::OnPreempt(RequestId id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  const RequestPtr request = found->second;
  if (request->engine < 0 || request->done) return;
  if (running_.erase(request->sequence) == 0) return;
  const std::optional<int64_t> generated = engines_.Cancel(request->engine, request->sequence);
  if (options_.policy.continuation) request->delivered += generated.value_or(0);
  ReleaseSlot(request, SlotEnd::kCancelled, {});
  Acquire(request, SlotPurpose::kContinuation);
}

void Fleet::EngineFailed(const RequestPtr& request, bool ran) {
  if (request->done) return;
  ReleaseSlot(request, SlotEnd::kFailed, {.started = ran});
  if (!IsUp(request->node)) return;
  if (ran && !request->traffic->repeatable) {
    Fail(request, "backend_failed");
    return;
  }
  if (ran) ++retries_;
  Acquire(request, ran ? SlotPurpose::kRetry : SlotPurpose::kContinuation);
}

}  // namespace cartsail::emulator
