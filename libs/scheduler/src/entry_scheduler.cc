#include "cartsail/scheduler/entry_scheduler.h"

#include <algorithm>

namespace cartsail {
namespace {

// Engines asked in turn by a request that displaces nothing, before it is given up.
constexpr int kMaxRefusals = 3;
// Answers of nodes that do not own the engine (views differ for a moment) before giving up.
constexpr int kMaxOwnerMisses = 60;

EntryAction MakeAction(EntryAction::Kind kind, RequestId id, uint64_t ask,
                       const std::string& engine) {
  EntryAction action;
  action.kind = kind;
  action.id = id;
  action.ask = ask;
  action.engine = engine;
  return action;
}

}  // namespace

EntryScheduler::EntryScheduler(std::string node, SelectorPolicy policy, uint64_t seed)
    : node_(std::move(node)), selector_(policy), random_(seed) {}

EntryActions EntryScheduler::Acquire(const EntryRequest& request, TimePoint now) {
  Entry entry;
  entry.request = request;
  entry.tried = request.excluded;
  if (request.purpose == SlotPurpose::kFirst) {
    if (limiter_.Admit(request.tenant, request.limits, now) != TenantLimiter::Verdict::kAdmitted) {
      entry.retry_after = TenantLimiter::RetryAfter(request.limits);
      return Refuse(entry, EntryRefusal::kRateLimited);
    }
    budget_.NoteFirstTry(request.class_key, request.retry_ratio);
  } else {
    // Its wait is over once it has started: a later slot is waited for anew.
    entry.request.arrival = now;
  }
  if (request.purpose == SlotPurpose::kRetry && !budget_.TakeRetry(request.class_key)) {
    return Refuse(entry, EntryRefusal::kRetryDenied);
  }
  if (!selector_.Serves(request.model)) return Refuse(entry, EntryRefusal::kUnknownModel);
  Entry& kept = entries_[request.id] = std::move(entry);
  return AskNext(kept, now);
}

SelectRequest EntryScheduler::SelectFor(const Entry& entry) const {
  SelectRequest select;
  select.model = entry.request.model;
  select.tier = entry.request.tier;
  select.prefix_hash = entry.request.prefix_hash;
  select.excluded = entry.tried;
  return select;
}

WorkItem EntryScheduler::ItemFor(const Entry& entry, TimePoint now) const {
  const EntryRequest& request = entry.request;
  WorkItem item;
  item.id = request.id;
  item.node = node_;
  item.tier = request.tier;
  item.waited = now - request.arrival;
  item.max_wait = request.max_wait + entry.extension;
  item.ttft_target = request.ttft_target;
  item.preemptible = request.preemptible;
  return item;
}

// Asks the best engine not yet tried. A retry, which its class's budget bounds, may go to an engine
// that failed before when no other is left: in a small fleet a second failure is soon met.
EntryActions EntryScheduler::AskNext(Entry& entry, TimePoint now) {
  std::optional<std::string> engine = selector_.Choose(SelectFor(entry), now, random_);
  if (!engine.has_value() && entry.request.purpose == SlotPurpose::kRetry) {
    for (const std::string& failed : entry.request.excluded) entry.tried.erase(failed);
    entry.request.excluded.clear();
    engine = selector_.Choose(SelectFor(entry), now, random_);
  }
  if (!engine.has_value()) return Refuse(entry, EntryRefusal::kNoBackend);
  return Ask(entry, *engine, now);
}

EntryActions EntryScheduler::Ask(Entry& entry, const std::string& engine, TimePoint now) {
  entry.engine = engine;
  entry.ask = next_ask_++;
  selector_.NoteAsked(engine);
  EntryAction action = MakeAction(EntryAction::Kind::kAsk, entry.request.id, entry.ask, engine);
  action.item = ItemFor(entry, now);
  return {action};
}

EntryActions EntryScheduler::OnReply(RequestId id, uint64_t ask, const AskReply& reply,
                                     TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.ask != ask || found->second.granted) {
    if (!reply.granted) return {};
    return {MakeAction(EntryAction::Kind::kReturn, id, ask, "")};
  }
  Entry& entry = found->second;
  if (reply.has_digest) selector_.UpdateDigest(entry.engine, reply.digest);
  if (reply.granted) {
    entry.granted = true;
    return {MakeAction(EntryAction::Kind::kGranted, id, ask, entry.engine)};
  }
  selector_.NoteDone(entry.engine);
  return OnRejected(entry, reply, now);
}

EntryActions EntryScheduler::OnRejected(Entry& entry, const AskReply& reply, TimePoint now) {
  if (!reply.reached || reply.reason == RejectReason::kNotOwner) {
    if (++entry.refusals > kMaxOwnerMisses) return Refuse(entry, EntryRefusal::kNoBackend);
    return AskNext(entry, now);
  }
  entry.tried.insert(entry.engine);
  if (reply.reason == RejectReason::kLeaving) {
    selector_.MarkLeaving(entry.engine, now);
    return AskNext(entry, now);
  }
  entry.retry_after = entry.retry_after == Duration(0)
                          ? reply.retry_after
                          : std::min(entry.retry_after, reply.retry_after);
  ++entry.refusals;
  const bool timed_out = reply.reason == RejectReason::kQueueTimeout;
  const EntryRefusal refusal = timed_out ? EntryRefusal::kQueueTimeout : EntryRefusal::kOverloaded;
  // Engines at which a lower tier holds a place come first: this request is not given up before
  // they have refused it.
  const std::vector<std::string> lower = selector_.WithLowerTier(SelectFor(entry), now);
  if (!lower.empty()) {
    if (timed_out) entry.extension += entry.request.ttft_target;
    std::uniform_int_distribution<size_t> draw(0, lower.size() - 1);
    return Ask(entry, lower[draw(random_)], now);
  }
  if (timed_out || entry.refusals >= kMaxRefusals) return Refuse(entry, refusal);
  if (!selector_.Choose(SelectFor(entry), now, random_).has_value()) {
    return Refuse(entry, refusal);
  }
  return AskNext(entry, now);
}

EntryActions EntryScheduler::Refuse(const Entry& entry, EntryRefusal refusal) {
  EntryAction action = MakeAction(EntryAction::Kind::kRefused, entry.request.id, 0, "");
  action.refusal = refusal;
  action.retry_after = entry.retry_after;
  entries_.erase(action.id);
  return {action};
}

EntryActions EntryScheduler::Cancel(RequestId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.granted) return {};
  const Entry& entry = found->second;
  selector_.NoteDone(entry.engine);
  const EntryAction action = MakeAction(EntryAction::Kind::kWithdraw, id, entry.ask, entry.engine);
  entries_.erase(found);
  return {action};
}

EntryActions EntryScheduler::Release(RequestId id, SlotEnd end, const ServiceReport& report,
                                     TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return {};
  const std::string engine = found->second.engine;
  EntryAction action = MakeAction(EntryAction::Kind::kRelease, id, found->second.ask, engine);
  action.report = report;
  entries_.erase(found);
  selector_.NoteDone(engine);
  switch (end) {
    case SlotEnd::kServed:
      selector_.NoteSuccess(engine);
      break;
    case SlotEnd::kCancelled:
      break;
    case SlotEnd::kLeaving:
      selector_.MarkLeaving(engine, now);
      break;
    case SlotEnd::kRefused:
    case SlotEnd::kFailed:
      selector_.NoteFailure(engine, now);
      break;
  }
  return {action};
}

EntryActions EntryScheduler::OnOwnerChanged(const std::string& engine, TimePoint now) {
  EntryActions actions;
  for (auto& [id, entry] : entries_) {
    if (entry.engine != engine || entry.granted) continue;
    selector_.NoteDone(engine);
    for (EntryAction& action : Ask(entry, engine, now)) actions.push_back(std::move(action));
  }
  return actions;
}

void EntryScheduler::Adopt(RequestId id, const std::string& engine, const WorkItem& item) {
  Entry entry;
  entry.request.id = id;
  entry.request.tier = item.tier;
  entry.request.preemptible = item.preemptible;
  entry.engine = engine;
  entry.granted = true;
  entries_[id] = std::move(entry);
  selector_.NoteAsked(engine);
}

std::vector<WorkItem> EntryScheduler::RunningAt(const std::string& engine) const {
  std::vector<WorkItem> running;
  for (const auto& [id, entry] : entries_) {
    if (entry.granted && entry.engine == engine) {
      running.push_back(ItemFor(entry, entry.request.arrival));
    }
  }
  return running;
}

std::set<std::string> EntryScheduler::EnginesInUse() const {
  std::set<std::string> engines;
  for (const auto& [id, entry] : entries_) engines.insert(entry.engine);
  return engines;
}

bool EntryScheduler::IsRunning(RequestId id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.granted;
}

}  // namespace cartsail
