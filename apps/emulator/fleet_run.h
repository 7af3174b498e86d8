// The virtual fleet: nodes, traffic, claims and faults on one virtual clock. Split over
// fleet_nodes.cc (membership and messages), fleet_traffic.cc (requests), fleet_claims.cc,
// fleet_baseline.cc and fleet_faults.cc by what happens.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "event_queue.h"
#include "fleet.h"
#include "fleet_engines.h"
#include "fleet_node.h"
#include "fleet_recorder.h"

namespace cartsail::emulator {

inline constexpr Duration kSameZoneLatency = std::chrono::microseconds(100);
inline constexpr Duration kEngineLatency = std::chrono::microseconds(300);
inline constexpr Duration kHeartbeatInterval = milliseconds(250);
inline constexpr uint64_t kHeartbeatsPerDigest = 8;
inline constexpr Duration kTickInterval = milliseconds(20);
inline constexpr Duration kReportInterval = seconds(1);
inline constexpr Duration kPlatformLatency = milliseconds(3);
inline constexpr Duration kPlatformTimeout = seconds(2);
inline constexpr Duration kClaimTimeout = seconds(2);
inline constexpr Duration kAskAgainPause = milliseconds(50);
inline constexpr Duration kCallerRetryPause = milliseconds(200);
inline constexpr Duration kBlindRetryPause = milliseconds(100);
inline constexpr int kLongestTailSeconds = 600;
inline constexpr size_t kRelaysPerZone = 2;

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

class Fleet {
 public:
  Fleet(const Workload& workload, const FleetOptions& options)
      : workload_(workload),
        options_(options),
        random_(options.seed),
        recorder_(workload, start_),
        engines_(
            workload.topology, events_, [this](uint64_t sequence) { OnStarted(sequence); },
            [this](uint64_t sequence) { OnFinished(sequence); }) {}

  FleetReport Run();

 private:
  std::string ZoneName(int index) const;
  EngineQueuePolicy QueuePolicy() const;
  void MakeNodes();
  bool FullView() const { return workload_.topology.nodes <= options_.full_view_limit; }

  bool Sees(const std::string& zone, const std::string& other) const;
  // `settled`: the fleet has been up before the run began.
  void StartNode(size_t index, bool settled);
  // A start reads the settings and the machine list from the platform if the node is one of its
  // zone's relays, else from peers; without any it asks the platform later.
  void LoadConfig(size_t index, bool settled);
  bool IsUp(size_t index, uint64_t incarnation) const;
  bool IsUp(size_t index) const { return up_[index] != 0; }

  Duration Latency(size_t from, size_t to) const;
  // Delivers `work` at node `to` unless it has died meanwhile; then `lost` runs at the sender.
  void Send(size_t from, size_t to, std::function<void()> work,
            std::function<void()> lost = nullptr);
  // Runs decision logic and, when asked for, adds up the real time it took.
  template <typename Work>
  auto Decide(Work work) {
    if (!options_.measure_cost) return work();
    const TimePoint before = Now();
    auto result = work();
    decision_time_ += Now() - before;
    return result;
  }

  void ScheduleHeartbeat(size_t index, uint64_t incarnation, Duration delay);
  Duration IntervalOf(size_t index) const;
  void SendHeartbeats(size_t index, bool with_digests);
  const std::string& NodeName(size_t index);
  void ScheduleTick(size_t index, uint64_t incarnation, Duration delay);
  void RefreshOwners(size_t index);
  void Announce(size_t index, const std::string& engine);

  void ScheduleArrival(size_t class_index, TimePoint from);
  void Arrive(size_t class_index);
  // A request comes to a random live node, as from a balancer.
  void Enter(const RequestPtr& request, SlotPurpose purpose);
  void Acquire(const RequestPtr& request, SlotPurpose purpose);
  void RunEntry(size_t node, const EntryActions& actions);
  void RunEntryAction(size_t node, const EntryAction& action);
  void Ask(size_t node, const EntryAction& action);
  void Unreached(size_t node, RequestId id, uint64_t ask);
  void SendRelease(size_t node, const std::string& owner, const std::string& engine, RequestId id,
                   const ServiceReport& report);
  void RunOwner(size_t owner, const OwnerActions& actions);
  void OnGranted(size_t node, const EntryAction& action);
  void OnRefused(const EntryAction& action);
  void Fail(const RequestPtr& request, const std::string& kind);

  void Claim(size_t node, const RequestPtr& request);
  void PumpClaims(size_t node);
  void ArmClaims(size_t node);
  void SendBatch(size_t node, const std::vector<ClaimRequest>& batch);
  void DeliverClaims(const std::vector<ClaimResult>& results);
  void EndClaim(const RequestPtr& request, bool won);
  void CountPlatformCall() { recorder_.CountPlatformCall(events_.Time()); }

  void StartOnEngine(const RequestPtr& request);
  void OnStarted(uint64_t sequence);
  void OnFinished(uint64_t sequence);
  void Finish(const RequestPtr& request);
  void ReleaseSlot(const RequestPtr& request, SlotEnd end, const ServiceReport& report);
  void OnPreempt(RequestId id);
  // The engine broke off or was not there.
  void EngineFailed(const RequestPtr& request, bool ran);

  void ScheduleReport(size_t index, uint64_t incarnation);
  void SendAlone(const RequestPtr& request, SlotPurpose purpose);
  // Sends a request that waits too long to another engine, as the retry budget allows.
  void SendAgainLater(const RequestPtr& request, SlotPurpose purpose);

  void Apply(const FleetFault& fault);
  void CrashEngine(int index, Duration length);
  void AfterCrash(const RequestPtr& request);
  void KillNode(size_t index, Duration length);
  void Resume(const RequestPtr& request);

  FleetReport Report();
  const Workload& workload_;
  const FleetOptions& options_;
  std::mt19937_64 random_;
  EventQueue events_;
  TimePoint start_ = events_.Time();
  FleetRecorder recorder_;
  FleetEngines engines_;
  std::unordered_map<uint64_t, RequestPtr> running_;  // by sequence
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
  RetryBudget retry_budget_;  // of the impatient baseline
  int64_t requests_ = 0;
  int64_t messages_ = 0;
  int64_t heartbeats_ = 0;
  int64_t preemptions_ = 0;
  int64_t retries_ = 0;
  Duration decision_time_{};
};

}  // namespace cartsail::emulator
