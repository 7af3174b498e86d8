// Replays a request log through EngineQueue and EntryScheduler on a virtual clock.
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>

#include "cartsail/operations/request_log.h"
#include "cartsail/scheduler/entry_scheduler.h"
#include "cartsail/scheduler/owner_table.h"

namespace cartsail {
namespace {

constexpr Duration kTick = milliseconds(20);
// Stands in for the service time of a request that was refused when it was recorded.
constexpr double kUnknownServiceMs = 1000;

struct Event {
  TimePoint time;
  uint64_t number = 0;
  std::function<void()> work;
  bool operator<(const Event& other) const {
    return time != other.time ? time > other.time : number > other.number;
  }
};

struct Job {
  const RequestRecord* record = nullptr;
  std::string key;
  TimePoint arrival;
  TimePoint granted{};
  double left_ms = 0;
  uint64_t run = 0;  // number of the current run, so that a preempted one's end is ignored
  bool waited = false;
};

class ReplayRun {
 public:
  ReplayRun(const std::vector<RequestRecord>& records, const Branch& root,
            const std::map<std::string, Branch>& tenants, const ReplayOptions& options)
      : records_(records),
        root_(root),
        tenants_(tenants),
        options_(options),
        entry_("replay", SelectorPolicy{.prefix_affinity = false}, options.seed),
        owned_(QueuePolicy()) {}

  ReplayReport Run() {
    MakeEngines();
    for (const RequestRecord& record : records_) {
      At(kStart + FromSeconds(record.at_ms / 1e3), [this, &record] { Arrive(record); });
    }
    At(kStart, [this] { Tick(); });
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.work();
    }
    return std::move(report_);
  }

 private:
  static constexpr TimePoint kStart = TimePoint(seconds(100));

  EngineQueuePolicy QueuePolicy() const {
    const FleetPolicy fleet = ResolveFleet(root_);
    EngineQueuePolicy policy;
    policy.initial_window = policy.max_window = options_.window;
    policy.adapt_window = false;
    policy.headroom_limit = fleet.headroom_limit;
    policy.queue_limit = static_cast<int>(fleet.queue_limit);
    for (int tier = 0; tier < kSchedulerTiers; ++tier) {
      policy.tier_shares[tier] = fleet.tier_shares[tier];
    }
    return policy;
  }

  void At(TimePoint time, std::function<void()> work) {
    events_.push({time, next_number_++, std::move(work)});
  }

  void MakeEngines() {
    std::set<std::string> models;
    for (const RequestRecord& record : records_) models.insert(record.model);
    std::vector<EngineInfo> infos;
    std::vector<std::string> ids;
    for (const std::string& model : models) {
      for (int i = 0; i < options_.engines; ++i) {
        ids.push_back(fmt::format("{}-{}", model, i));
        infos.push_back({ids.back(), model, "z", false});
      }
    }
    entry_.Selector().SetEngines(infos);
    // Long enough before the first arrival that the take-over hold is past.
    owned_.SetOwned(ids, kStart - seconds(10));
  }

  void Tick() {
    Run(owned_.Tick(now_));
    for (const OwnedDigest& digest : owned_.Digests(now_)) {
      entry_.Selector().UpdateDigest(digest.engine, digest.digest);
    }
    if (open_ > 0 || arrived_ < records_.size()) At(now_ + kTick, [this] { Tick(); });
  }

  ClassPolicy PolicyOf(const RequestRecord& record) const {
    const auto tenant = tenants_.find(record.tenant);
    if (tenant != tenants_.end()) {
      const absl::StatusOr<ClassPolicy> policy =
          ResolveClass(root_, tenant->second, record.service, record.class_name);
      if (policy.ok()) return *policy;
    }
    Branch branch;
    branch.services[record.service].classes[record.class_name]["tier"] =
        std::to_string(record.tier);
    return *ResolveClass(root_, branch, record.service, record.class_name);
  }

  void Arrive(const RequestRecord& record) {
    ++arrived_;
    ++open_;
    const RequestId id = next_id_++;
    Job& job = jobs_[id];
    job.record = &record;
    job.key = fmt::format("{}/{}/{}", record.tenant, record.service, record.class_name);
    job.arrival = now_;
    job.left_ms = record.service_ms > 0 ? record.service_ms : kUnknownServiceMs;
    ReplayClass& measures = report_.classes[job.key];
    ++measures.requests;
    if (record.granted) {
      measures.recorded_wait_ms.push_back(record.wait_ms);
    } else {
      ++measures.recorded_refused;
    }
    Ask(id, SlotPurpose::kFirst);
  }

  void Ask(RequestId id, SlotPurpose purpose) {
    const Job& job = jobs_[id];
    const ClassPolicy policy = PolicyOf(*job.record);
    EntryRequest request;
    request.id = id;
    request.tenant = policy.tenant;
    request.class_key = job.key;
    request.model = job.record->model;
    request.tier = policy.tier;
    request.max_wait = policy.max_wait;
    request.ttft_target = policy.ttft_target;
    request.preemptible = policy.preemptible;
    request.arrival = job.arrival;
    request.purpose = purpose;
    request.retry_ratio = policy.retry_budget;
    request.limits = {static_cast<double>(policy.rate_limit),
                      static_cast<double>(policy.max_in_flight)};
    Run(entry_.Acquire(request, now_));
  }

  void Run(const EntryActions& actions) {
    for (const EntryAction& action : actions) {
      switch (action.kind) {
        case EntryAction::Kind::kAsk:
          asks_[action.id] = action.ask;
          Run(owned_.Submit(action.engine, action.item, now_));
          break;
        case EntryAction::Kind::kGranted:
          Start(action.id);
          break;
        case EntryAction::Kind::kRefused:
          ++report_.classes[jobs_[action.id].key].replayed_refused;
          End(action.id);
          break;
        case EntryAction::Kind::kRelease:
          Run(owned_.Release(action.engine, action.id, action.report, now_));
          break;
        case EntryAction::Kind::kWithdraw:
        case EntryAction::Kind::kReturn:
          break;
      }
    }
  }

  void Run(const OwnerActions& actions) {
    for (const OwnerAction& owner_action : actions) {
      const QueueAction& action = owner_action.action;
      if (action.kind == QueueAction::Kind::kPreempt) {
        At(now_, [this, id = action.id] { Preempt(id); });
        continue;
      }
      AskReply reply;
      reply.granted = action.kind == QueueAction::Kind::kGrant;
      reply.reason = action.reason;
      reply.retry_after = action.retry_after;
      // As an event of its own: a decision never re-enters the queue that made it.
      At(now_, [this, id = action.id, ask = asks_[action.id], reply] {
        Run(entry_.OnReply(id, ask, reply, now_));
      });
    }
  }

  void Start(RequestId id) {
    Job& job = jobs_[id];
    job.granted = now_;
    if (!job.waited) {
      job.waited = true;
      report_.classes[job.key].replayed_wait_ms.push_back(ToMillis(now_ - job.arrival));
    }
    const uint64_t run = ++job.run;
    At(now_ + FromSeconds(job.left_ms / 1e3), [this, id, run] {
      const auto found = jobs_.find(id);
      if (found == jobs_.end() || found->second.run != run) return;
      Run(entry_.Release(id, SlotEnd::kServed, {}, now_));
      End(id);
    });
  }

  void Preempt(RequestId id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !entry_.IsRunning(id)) return;
    Job& job = found->second;
    ++report_.classes[job.key].preempted;
    job.left_ms = std::max(1.0, job.left_ms - ToMillis(now_ - job.granted));
    ++job.run;
    Run(entry_.Release(id, SlotEnd::kCancelled, {}, now_));
    Ask(id, SlotPurpose::kContinuation);
  }

  void End(RequestId id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return;
    if (found->second.waited || !entry_.IsRunning(id)) {
      entry_.EndRequest(found->second.record->tenant);
    }
    jobs_.erase(found);
    --open_;
  }

  const std::vector<RequestRecord>& records_;
  const Branch& root_;
  const std::map<std::string, Branch>& tenants_;
  const ReplayOptions& options_;
  TimePoint now_ = kStart;
  EntryScheduler entry_;
  OwnerTable owned_;
  std::priority_queue<Event> events_;
  uint64_t next_number_ = 0;
  RequestId next_id_ = 1;
  size_t arrived_ = 0;
  int64_t open_ = 0;
  std::map<RequestId, Job> jobs_;
  std::map<RequestId, uint64_t> asks_;
  ReplayReport report_;
};

}  // namespace

ReplayReport Replay(const std::vector<RequestRecord>& records, const Branch& root,
                    const std::map<std::string, Branch>& tenants, const ReplayOptions& options) {
  ReplayRun run(records, root, tenants, options);
  return run.Run();
}

}  // namespace cartsail
