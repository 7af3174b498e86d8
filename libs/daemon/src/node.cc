#include "cartsail/daemon/node.h"

#include <sys/resource.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include "admin.h"
#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/gateway/gateway.h"
#include "cartsail/net/http_server.h"
#include "cartsail/store/etcd_client.h"
#include "claim_service.h"
#include "config_service.h"
#include "machine_service.h"
#include "slot_service.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kReconcileInterval = seconds(10);
constexpr Duration kMeterInterval = seconds(1);
constexpr Duration kDrainPoll = milliseconds(20);
constexpr Duration kSettleTime = seconds(2);
// Up to so many nodes everyone sends heartbeats to everyone; beyond, zones speak through relays.
constexpr size_t kFullMeshLimit = 32;
// Answers to asks and releases refresh digests too, so that heartbeats carry them only now and
// then.
constexpr uint64_t kHeartbeatsPerDigest = 8;

// One traffic thread: its own event loop, server and gateway.
struct TrafficThread {
  asio::io_context context{1};
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<HttpServer> server;
  std::thread thread;
};

class Node final : public ControlPlane, public PeerHandler {
 public:
  explicit Node(const NodeOptions& options)
      : options_(options),
        members_(
            {.self = options.node_id, .zone = options.zone, .suspect_after = options.suspect_after},
            Now()),
        store_(MakeEtcdClient(context_.get_executor(), {.endpoint = options.platform})),
        slots_(context_, options_, members_),
        claims_(context_, *store_, members_),
        config_(context_, options_, *store_, members_,
                [this](const ConfigSnapshot& snapshot) { OnConfig(snapshot); }),
        machines_(
            context_, options_, [this] { return config_.IsRelay(); },
            [this](const std::vector<Machine>& machines) { OnMachines(machines); }),
        signals_(context_, SIGTERM, SIGINT),
        tick_timer_(context_),
        heartbeat_timer_(context_),
        reconcile_timer_(context_),
        meter_timer_(context_),
        drain_timer_(context_) {}

  absl::Status Run() {
    network_ = MakePeerNetwork(
        context_, {.listen_host = options_.peer.host, .listen_port = options_.peer.port}, *this);
    slots_.SetNetwork(network_.get());
    claims_.SetNetwork(network_.get());
    config_.SetNetwork(network_.get());
    machines_.SetNetwork(network_.get());
    absl::Status status = network_->Start();
    if (status.ok()) status = StartAdmin();
    if (status.ok()) status = StartTraffic();
    if (!status.ok()) {
      StopTraffic();
      return status;
    }
    Log(LogLevel::kInfo, "started",
        {{"node", options_.node_id},
         {"zone", options_.zone},
         {"listen", options_.listen.ToString()},
         {"admin", options_.admin.ToString()},
         {"peer", options_.peer.ToString()}});
    machines_.Start();
    config_.Start();
    ArmTimers();
    signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
      if (!error) BeginDrain();
    });
    context_.run();
    StopTraffic();
    Log(LogLevel::kInfo, "stopped", {{"node", options_.node_id}});
    return drain_status_;
  }

  // ControlPlane: from any thread.
  ConfigSnapshotPtr Config() const override { return config_.Current(); }
  bool HasConfig() const override { return settled_.load(std::memory_order_relaxed); }

  void AcquireSlot(SlotRequest request, std::function<void(SlotDecision)> done) override {
    asio::post(context_, [this, request = std::move(request), done = std::move(done)]() mutable {
      slots_.Acquire(std::move(request), std::move(done));
    });
  }

  void CancelSlot(RequestId id) override {
    asio::post(context_, [this, id] { slots_.Cancel(id); });
  }

  void ReleaseSlot(RequestId id, SlotEnd end, const ServiceReport& report) override {
    asio::post(context_, [this, id, end, report] { slots_.Release(id, end, report); });
  }

  void EndRequest(const std::string& tenant) override {
    asio::post(context_, [this, tenant] { slots_.EndRequest(tenant); });
  }

  void AdoptSlot(RequestId id, const std::string& engine, const WorkItem& item) override {
    asio::post(context_, [this, id, engine, item] { slots_.Adopt(id, engine, item); });
  }

  void Claim(const std::string& key, const ClaimRecord& record, Duration timeout,
             std::function<void(ClaimResult)> done) override {
    asio::post(context_, [this, call = ClaimCall{key, record, timeout}, done = std::move(done)] {
      claims_.Claim(call, done);
    });
  }

  void WithdrawClaim(const std::string& key, const ClaimRecord& record) override {
    asio::post(context_, [this, key, record] { claims_.Withdraw(key, record); });
  }

  void Locate(const std::string& engine,
              std::function<void(std::optional<Endpoint>)> done) override {
    asio::post(context_, [this, engine, done = std::move(done)] { done(slots_.Locate(engine)); });
  }

  // PeerHandler: on the control thread.
  void OnAcquire(AcquireRequest request, std::function<void(AcquireReply)> reply) override {
    slots_.OnPeerAcquire(std::move(request), std::move(reply));
  }
  void OnCancel(const std::string& engine, RequestId id) override {
    slots_.OnPeerCancel(engine, id);
  }
  QueueDigest OnRelease(const std::string& engine, RequestId id,
                        const ServiceReport& report) override {
    return slots_.OnPeerRelease(engine, id, report);
  }
  ConfigDelta OnFetchConfig(int64_t since) override { return config_.Current()->DeltaSince(since); }
  void OnClaim(ClaimCall call, std::function<void(ClaimResult)> reply) override {
    claims_.ClaimHere(call, std::move(reply));
  }
  void OnPreempt(const std::string& /*engine*/, RequestId id) override { slots_.OnPeerPreempt(id); }
  void OnAnnounce(const std::string& engine, const std::string& node,
                  const std::vector<WorkItem>& running) override {
    slots_.OnPeerAnnounce(engine, node, running);
  }
  MachineListText OnFetchMachines() override { return machines_.Text(); }

  void OnHeartbeat(const Heartbeat& heartbeat) override {
    const bool changed = members_.Heard(heartbeat.node, heartbeat.zone, heartbeat.address,
                                        heartbeat.draining, Now(), heartbeat.interval);
    if (changed) {
      Log(LogLevel::kInfo, "member_live",
          {{"node", heartbeat.node}, {"draining", heartbeat.draining ? "true" : "false"}});
      slots_.OnMembershipChanged();
    }
    slots_.OnHeartbeat(heartbeat);
    newest_heard_ = std::max(newest_heard_, heartbeat.config_revision);
    peer_heard_ = true;
    config_.OnPeerRevision(heartbeat.address, heartbeat.config_revision);
    machines_.OnPeerVersion(heartbeat.address, heartbeat.machine_version);
  }

 private:
  absl::Status StartAdmin() {
    AdminSources sources;
    sources.ready = [this] { return IsReady(); };
    sources.status = [this] { return Status(); };
    sources.requests = [this] { return slots_.RequestLogText(); };
    admin_ = MakeAdminServer(context_, options_.admin, std::move(sources));
    return admin_->Start();
  }

  absl::Status StartTraffic() {
    HttpServerLimits limits;
    limits.body_bytes = static_cast<uint64_t>(options_.max_body_bytes);
    for (int64_t i = 0; i < options_.traffic_threads; ++i) {
      auto traffic = std::make_unique<TrafficThread>();
      traffic->gateway = MakeGateway(traffic->context.get_executor(), *this);
      traffic->server = MakeHttpServer(
          traffic->context, options_.listen, limits,
          [gateway = traffic->gateway.get()](HttpExchange& exchange) {
            return gateway->Handle(exchange);
          },
          ParseErrorResponse);
      const absl::Status status = traffic->server->Start();
      if (!status.ok()) return status;
      traffic_.push_back(std::move(traffic));
    }
    for (const auto& traffic : traffic_) {
      traffic->thread = std::thread([context = &traffic->context] {
        const auto guard = asio::make_work_guard(*context);
        context->run();
      });
    }
    return absl::OkStatus();
  }

  void StopTraffic() {
    for (const auto& traffic : traffic_) traffic->context.stop();
    for (const auto& traffic : traffic_) {
      if (traffic->thread.joinable()) traffic->thread.join();
    }
  }

  void Repeat(Timer& timer, Duration interval, std::function<void()> work) {
    timer.expires_after(interval);
    timer.async_wait(
        [this, &timer, interval, work = std::move(work)](const boost::system::error_code& error) {
          if (error) return;
          work();
          Repeat(timer, interval, work);
        });
  }

  void ArmTimers() {
    Repeat(tick_timer_, kTickInterval, [this] { Tick(); });
    ArmHeartbeat();
    Repeat(reconcile_timer_, kReconcileInterval, [this] { slots_.Reconcile(Now()); });
    Repeat(meter_timer_, kMeterInterval, [this] { Meter(); });
  }

  // A starting node serves only with the newest of what the platform and its peers have: the
  // platform may answer with an old state. Peers that stay silent are not waited for.
  void Settle(TimePoint now) {
    if (settled_ || config_.Current()->Revision() == 0) return;
    const bool alone = members_.Peers().empty() && options_.seed_peers.empty();
    const bool heard_enough = peer_heard_ || alone || now - started_ > kSettleTime;
    if (!heard_enough || config_.Current()->Revision() < newest_heard_) return;
    settled_ = true;
    Log(LogLevel::kInfo, "settled", {{"revision", std::to_string(newest_heard_)}});
  }

  void Tick() {
    const TimePoint now = Now();
    Settle(now);
    const std::vector<std::string> suspects = members_.Tick(now);
    if (members_.WasPaused()) {
      Log(LogLevel::kWarning, "process_was_paused");
      slots_.Reconcile(now);
    }
    for (const std::string& node : suspects) {
      Log(LogLevel::kWarning, "member_suspect", {{"node", node}});
      GlobalCounters().members_suspected_total.Add();
      slots_.OnNodeLost(node);
    }
    if (!suspects.empty()) slots_.OnMembershipChanged();
    slots_.Tick(now);
  }

  void ArmHeartbeat() {
    heartbeat_timer_.expires_after(CurrentInterval());
    heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      SendHeartbeats(++heartbeat_number_ % kHeartbeatsPerDigest == 0);
      ArmHeartbeat();
    });
  }

  Duration CurrentInterval() const {
    return HeartbeatInterval(options_.heartbeat_interval, HeartbeatTargets().size());
  }

  // Whom this node sends heartbeats to: everyone in a small fleet; in a large one its own zone and,
  // from a relay, one node of each other zone.
  std::vector<const Member*> HeartbeatTargets() const {
    std::vector<const Member*> peers = members_.Peers();
    if (peers.size() < kFullMeshLimit) return peers;
    std::erase_if(peers, [this](const Member* peer) {
      const bool same_zone = peer->zone == options_.zone || peer->zone.empty();
      const bool across = config_.IsRelay() && members_.OwnerOf(kRelayRole, peer->zone) == peer->id;
      return !same_zone && !across;
    });
    return peers;
  }

  Heartbeat MakeHeartbeat(bool with_digests) const {
    Heartbeat heartbeat;
    heartbeat.node = options_.node_id;
    heartbeat.zone = options_.zone;
    heartbeat.address = options_.advertise.ToString();
    heartbeat.draining = draining_;
    heartbeat.config_revision = config_.Current()->Revision();
    heartbeat.machine_version = machines_.Version();
    heartbeat.interval = CurrentInterval();
    if (with_digests) heartbeat.engines = slots_.Digests(Now());
    return heartbeat;
  }

  void SendHeartbeats(bool with_digests = false) {
    const Heartbeat heartbeat = MakeHeartbeat(with_digests);
    slots_.OnHeartbeat(heartbeat);
    const std::vector<const Member*> peers = HeartbeatTargets();
    for (const Member* peer : peers) network_->SendHeartbeat(peer->address, heartbeat);
    // A start while the platform is out: nobody is listed yet.
    if (!peers.empty()) return;
    for (const std::string& seed : options_.seed_peers) {
      if (seed != heartbeat.address) network_->SendHeartbeat(seed, heartbeat);
    }
  }

  void OnConfig(const ConfigSnapshot& snapshot) {
    slots_.SetFleetPolicy(snapshot.Fleet());
    claims_.SetRetention(snapshot.Fleet().claim_retention);
    // Told at once, not at the next interval: the change travels on from here.
    if (network_ != nullptr) asio::post(context_, [this] { SendHeartbeats(); });
  }

  void OnMachines(const std::vector<Machine>& machines) {
    std::vector<Member> nodes;
    std::set<std::string> zones = {options_.zone};
    for (const Machine& machine : machines) {
      if (machine.kind != MachineKind::kNode) continue;
      zones.insert(machine.zone);
      Member member;
      member.id = machine.id;
      member.zone = machine.zone;
      member.address = machine.address.ToString();
      nodes.push_back(std::move(member));
    }
    claims_.SetZones(static_cast<int>(zones.size()));
    members_.SetListed(nodes);
    slots_.SetMachines(machines);
    SendHeartbeats();
  }

  // True while some way to learn of changes is open.
  bool IsConnected() const {
    if (members_.LiveCount() > 1) return true;
    const TimePoint contact =
        std::max(config_.LastPlatformContact(), machines_.LastPlatformContact());
    return Now() - contact < options_.isolation_limit;
  }

  bool IsReady() const { return HasConfig() && !draining_ && IsConnected(); }

  void Meter() {
    Counters& counters = GlobalCounters();
    counters.members_live.Set(members_.LiveCount());
    const bool ready = IsReady();
    if (counters.ready.Get() != (ready ? 1 : 0)) {
      Log(LogLevel::kInfo, "readiness", {{"ready", ready ? "true" : "false"}});
    }
    counters.ready.Set(ready ? 1 : 0);
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const int64_t micros = (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000 +
                           usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    counters.control_cpu_microseconds.Set(micros);
  }

  json::object Status() const {
    json::array members;
    for (const Member* peer : members_.Peers()) {
      static constexpr std::string_view kStates[] = {"unheard", "live", "draining", "suspect"};
      members.push_back(json::object{{"node", peer->id},
                                     {"zone", peer->zone},
                                     {"state", kStates[static_cast<int>(peer->state)]}});
    }
    json::array engines;
    for (const EngineDigest& engine : slots_.Digests(Now())) {
      int waiting = 0;
      for (const int count : engine.digest.waiting) waiting += count;
      engines.push_back(json::object{{"engine", engine.engine},
                                     {"in_flight", engine.digest.in_flight},
                                     {"window", engine.digest.window},
                                     {"waiting", waiting},
                                     {"leaving", engine.leaving}});
    }
    return {{"node", options_.node_id},
            {"zone", options_.zone},
            {"ready", IsReady()},
            {"draining", draining_},
            {"revision", config_.Current()->Revision()},
            {"change_id", config_.Current()->ChangeId()},
            {"tenants", config_.Current()->TenantCount()},
            {"relay", config_.IsRelay()},
            {"platform_reachable", GlobalCounters().platform_reachable.Get() == 1},
            {"engines_known", slots_.EnginesKnown()},
            {"members", std::move(members)},
            {"owned_engines", std::move(engines)}};
  }

  // A planned stop: unready and without ownership at once, deaf once the balancer has noticed,
  // gone when the last answer is finished.
  void BeginDrain() {
    Log(LogLevel::kInfo, "drain_began");
    draining_ = true;
    drain_deadline_ = Now() + options_.drain_delay + options_.drain_timeout;
    members_.SetSelfDraining();
    SendHeartbeats();
    slots_.OnMembershipChanged();
    drain_timer_.expires_after(options_.drain_delay);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) StopAccepting();
    });
  }

  void StopAccepting() {
    Log(LogLevel::kInfo, "stopped_accepting");
    for (const auto& traffic : traffic_) {
      asio::post(traffic->context, [server = traffic->server.get()] { server->StopAccepting(); });
    }
    AwaitIdle();
  }

  void AwaitIdle() {
    const bool idle = GlobalCounters().requests_in_flight.Get() == 0;
    if (idle || Now() > drain_deadline_) {
      if (!idle) {
        Log(LogLevel::kError, "drain_timeout");
        drain_status_ = MakeError(ErrorKind::kTimeout, "answers were still running at the stop");
      }
      // A last turn lets final releases reach the owners.
      drain_timer_.expires_after(kDrainPoll * 5);
      drain_timer_.async_wait([this](const boost::system::error_code&) { context_.stop(); });
      return;
    }
    drain_timer_.expires_after(kDrainPoll);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) AwaitIdle();
    });
  }

  NodeOptions options_;
  asio::io_context context_{1};
  MemberTable members_;
  std::unique_ptr<KeyValueStore> store_;
  std::unique_ptr<PeerNetwork> network_;
  SlotService slots_;
  ClaimService claims_;
  ConfigService config_;
  MachineService machines_;
  std::unique_ptr<HttpServer> admin_;
  std::vector<std::unique_ptr<TrafficThread>> traffic_;
  asio::signal_set signals_;
  Timer tick_timer_;
  Timer heartbeat_timer_;
  Timer reconcile_timer_;
  Timer meter_timer_;
  Timer drain_timer_;
  std::atomic<bool> settled_{false};
  TimePoint started_ = Now();
  bool peer_heard_ = false;
  int64_t newest_heard_ = 0;  // configuration revision of any peer
  uint64_t heartbeat_number_ = 0;
  bool draining_ = false;
  TimePoint drain_deadline_{};
  absl::Status drain_status_;
};

}  // namespace

absl::Status RunNode(const NodeOptions& options) {
  // Never destroyed: the process ends next, and after a drain that ran out of time the stopped
  // loops still hold coroutines that refer to the node.
  auto* node = new Node(options);
  return node->Run();
}

}  // namespace cartsail
