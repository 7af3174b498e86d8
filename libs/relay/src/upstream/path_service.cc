#include "upstream/path_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Connecting within a region takes a few milliseconds; a lost packet would cost a second.
constexpr Duration kDirectConnectTimeout = milliseconds(120);
constexpr Duration kBridgeConnectTimeout = milliseconds(200);
constexpr Duration kBridgeMargin = milliseconds(50);  // added to the other node's connect time
constexpr Duration kAskInterval = milliseconds(20);   // between asking one node and the next
// If three of five nodes have lost their path to a back end, asking seven nodes finds one that
// reaches it in 97 of 100 cases.
constexpr size_t kMaxObservers = 7;
// Healthy engines may process a prompt or queue a request for long: silence of this length only
// triggers an examination of the path.
constexpr Duration kSilence = seconds(1);
constexpr Duration kExaminationInterval =
    seconds(1);  // between background examinations of a back end
// A faulty path may accept connections and then reset them: time for which a new one is observed.
constexpr Duration kResetObservation = milliseconds(10);
// Long enough to ask all nodes and to await the result of the last.
constexpr Duration kRoundTimeout =
    kMaxObservers * kAskInterval + kBridgeConnectTimeout + 2 * kBridgeMargin;
constexpr size_t kMaxConcurrentProbes = 4;
constexpr Duration kAvoidDuration = seconds(1);
constexpr Duration kLastBridgeRetention = seconds(30);
constexpr Duration kCleanupInterval = seconds(1);
// Many requests fall silent together, and each asks for the activity of all back ends.
constexpr Duration kActivityAge = milliseconds(50);
// Back ends without pending responses that have sent data within this time are part of the activity
// of their service.
constexpr Duration kRecentActivity = seconds(1);
constexpr Duration kTrialInterval = seconds(1);
constexpr Duration kTrialValidity = seconds(3);

ConnectResult AsConnect(BridgeResult result) {
  if (result == BridgeResult::kConnected) return ConnectResult::kConnected;
  return result == BridgeResult::kRefused ? ConnectResult::kRefused : ConnectResult::kFailed;
}

// True if the other node tried to connect to the back end.
bool HasTried(BridgeResult result) {
  return result == BridgeResult::kConnected || result == BridgeResult::kRefused ||
         result == BridgeResult::kFailed;
}

}  // namespace

PathService::PathService(asio::io_context& io, const Duration& connect_timeout,
                         uint16_t bridge_port, const Dispatcher& dispatcher, PeerTable& peers,
                         UpstreamPool& pool)
    : io_(io),
      connect_timeout_(connect_timeout),
      bridge_port_(bridge_port),
      dispatcher_(dispatcher),
      peers_(peers),
      pool_(pool),
      random_(std::random_device{}()) {}

std::shared_ptr<PathUse> PathService::UseOf(BackendKey backend) {
  std::shared_ptr<PathUse>& use = uses_[backend];
  if (use == nullptr) use = std::make_shared<PathUse>([this, backend] { NoteStands(backend); });
  return use;
}

const std::vector<BackendActivity>& PathService::ActivityOf(const std::string& service,
                                                            TimePoint now) {
  ServiceActivity& activity = activities_[service];
  if (now - activity.read < kActivityAge) return activity.backends;
  activity.read = now;
  activity.backends.clear();
  for (const auto* uses : {&uses_, &bridged_uses_}) {
    for (const auto& [key, use] : *uses) {
      // Silence on a cut path does not tell anything about the back end.
      const bool is_cut = uses == &uses_ && table_.IsCut(key);
      if (is_cut || !use->IsActive(kRecentActivity, now)) continue;
      const Backend* known = dispatcher_.Registry().FindByKey(key);
      if (known == nullptr || known->service != service) continue;
      activity.backends.push_back(use->Activity(key));
      const std::optional<TimePoint> failed = table_.FailedAt(key, now);
      const bool is_lost = failed.has_value() && use->Heard() < *failed;
      activity.backends.back().is_unreachable = is_lost && !table_.IsCut(key);
    }
  }
  return activity.backends;
}

SilenceEvidence PathService::EvidenceOf(const Backend& backend, bool is_bridged, TimePoint since,
                                        TimePoint now) {
  SilenceEvidence evidence =
      EvidenceOfSilence(backend.key, since, now, ActivityOf(backend.service, now));
  evidence.is_path_cut = !is_bridged && table_.IsCut(backend.key);
  const auto trials = trials_.find(backend.service);
  evidence.connections_died =
      trials != trials_.end() && now - trials->second.answered < kTrialValidity;
  return evidence;
}

std::optional<TrialTarget> PathService::TakeTrial(const std::string& service, TimePoint now) {
  Trials& trials = trials_[service];
  for (const TrialTarget target : {TrialTarget::kIdle, TrialTarget::kSilent}) {
    TimePoint& next = target == TrialTarget::kIdle ? trials.next_idle : trials.next_silent;
    if (now < next) continue;
    next = now + kTrialInterval;
    return target;
  }
  return std::nullopt;
}

bool PathService::WasHeardSince(BackendKey backend, TimePoint since) const {
  for (const auto* uses : {&uses_, &bridged_uses_}) {
    const auto use = uses->find(backend);
    if (use != uses->end() && use->second->Heard() > since) return true;
  }
  return false;
}

void PathService::NoteTrialAnswered(const std::string& service, TimePoint now) {
  trials_[service].answered = now;
}

std::shared_ptr<PathUse> PathService::BridgedUseOf(BackendKey backend) {
  std::shared_ptr<PathUse>& use = bridged_uses_[backend];
  if (use == nullptr) use = std::make_shared<PathUse>([] {});
  return use;
}

std::shared_ptr<UpstreamConnection> PathService::TakeIdle(BackendKey backend,
                                                          const RegionSet& allowed) {
  const bool is_cut = table_.IsCut(backend);
  const RegionMap& regions = dispatcher_.Registry().Regions();
  return pool_.TakeIdle(backend, Now(), [&](const UpstreamConnection& connection) {
    if (connection.Over().empty() || !is_cut) return connection.Over().empty() && !is_cut;
    if (!IsBridge(connection.Over())) return false;
    return allowed.Allows(regions.IndexOfZone(peers_.ZoneOf(connection.Over())));
  });
}

asio::awaitable<OpenedPath> PathService::Open(Backend backend, RegionSet allowed,
                                              TimePoint deadline, OnPending on_pending) {
  OpenedPath opened;
  opened.connection = TakeIdle(backend.key, allowed);
  if (opened.connection != nullptr) co_return opened;
  if (!table_.IsCut(backend.key)) {
    opened = co_await OpenOwn(backend, deadline, on_pending);
    if (opened.connection != nullptr) co_return opened;
  }
  co_return co_await OpenOver(backend, allowed, opened.own, deadline, on_pending);
}

asio::awaitable<OpenedPath> PathService::OpenOwn(const Backend& backend, TimePoint deadline,
                                                 const OnPending& on_pending) {
  OpenedPath opened;
  auto connection = pool_.MakeNew();
  GlobalCounters().backend_connects_total.Add();
  on_pending(connection);
  const bool is_alone = !peers_.HasBridge();
  const Duration patience = is_alone ? connect_timeout_ : kDirectConnectTimeout;
  const TimePoint limit = std::min(deadline, Now() + patience);
  opened.own = co_await connection->Connect(backend.address, limit);
  if (opened.own != ConnectResult::kConnected) {
    NoteFailed(backend.key);
    co_return opened;
  }
  connection->SetUse(UseOf(backend.key));
  opened.connection = std::move(connection);
  co_return opened;
}

void PathService::NoteFailed(BackendKey backend) {
  GlobalCounters().backend_connects_failed_total.Add();
  table_.NoteFailed(backend, Now());
}

void PathService::NoteStands(BackendKey backend) {
  const bool was_cut = table_.IsCut(backend);
  table_.NoteConnected(backend, Now());
  if (!was_cut) return;
  GlobalCounters().paths_regained_total.Add();
  Log(LogLevel::kInfo, "path_regained",
      {{"backend_key", std::to_string(backend)}, {"cut_paths", std::to_string(table_.CutPaths())}});
  NoteLostAll();
}

asio::awaitable<OpenedPath> PathService::OpenOver(const Backend& backend, const RegionSet& allowed,
                                                  ConnectResult own, TimePoint deadline,
                                                  const OnPending& on_pending) {
  std::vector<std::string> bridges = Bridges(backend.key, allowed, kMaxObservers);
  deadline = std::min(deadline, Now() + kRoundTimeout);
  co_return co_await AskOthers(backend, std::move(bridges), false, own, deadline, on_pending);
}

// Asks the nodes kAskInterval apart, or at once after a node reported failure: a node with a
// working path answers within milliseconds, and only one without takes long.
asio::awaitable<OpenedPath> PathService::AskOthers(const Backend& backend,
                                                   std::vector<std::string> bridges, bool fresh,
                                                   ConnectResult own, TimePoint deadline,
                                                   const OnPending& on_pending) {
  const auto round =
      std::make_shared<AskingRound>(io_, ReachabilityEvidence(own, peers_.LiveCount() > 0));
  size_t next = 0;
  while (round->connection == nullptr && Now() < deadline) {
    if (next < bridges.size() && round->MayAskNext(Now())) {
      auto connection = pool_.MakeNew();
      on_pending(connection);
      round->NoteAsked(Now() + kAskInterval);
      asio::co_spawn(io_, AskOne(round, backend, bridges[next++], fresh, std::move(connection)),
                     asio::detached);
      continue;
    }
    if (round->running == 0) break;
    round->changed.expires_at(next < bridges.size() ? std::min(deadline, round->next) : deadline);
    boost::system::error_code ignored;
    co_await round->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  round->is_over = true;
  OpenedPath opened;
  opened.own = own;
  opened.connection = round->connection;
  const bool all_answered = next == bridges.size() && round->running == 0;
  if (opened.connection != nullptr || all_answered) opened.verdict = round->evidence.Verdict();
  if (opened.connection != nullptr) {
    opened.connection->SetUse(BridgedUseOf(backend.key));
    NoteReached(backend);
  }
  const bool nobody_knows = opened.verdict == PathVerdict::kUnknown;
  opened.says_nothing_of_backend =
      nobody_knows && (table_.IsCut(backend.key) || peers_.HasBridge());
  co_return opened;
}

asio::awaitable<void> PathService::AskOne(std::shared_ptr<AskingRound> round, Backend backend,
                                          std::string host, bool fresh,
                                          std::shared_ptr<UpstreamConnection> connection) {
  const Endpoint peer{host, bridge_port_};
  const BridgeOrder order{backend.key, fresh, kBridgeConnectTimeout};
  const TimePoint limit = Now() + kBridgeConnectTimeout + kBridgeMargin;
  const BridgeResult result = co_await connection->ConnectOver(peer, order, limit);
  --round->running;
  if (HasTried(result)) round->evidence.Note(AsConnect(result));
  NoteBridge(backend.key, host, result);
  const bool is_first = result == BridgeResult::kConnected && round->connection == nullptr;
  if (is_first && !round->is_over) {
    round->connection = std::move(connection);
  } else {
    connection->Close();
  }
  if (result != BridgeResult::kConnected) round->next = Now();
  round->changed.cancel();
}

void PathService::NoteBridge(BackendKey backend, const std::string& host, BridgeResult result) {
  Counters& counters = GlobalCounters();
  if (result == BridgeResult::kConnected) {
    counters.bridges_opened_total.Add();
    last_bridges_[backend] = {host, Now()};
    return;
  }
  counters.bridges_failed_total.Add();
  if (result == BridgeResult::kLost || result == BridgeResult::kBusy) {
    avoided_[host] = Now() + kAvoidDuration;
  }
  const auto last = last_bridges_.find(backend);
  if (last != last_bridges_.end() && last->second.host == host) last_bridges_.erase(last);
}

// Records that another node has just connected to the back end.
void PathService::NoteReached(const Backend& backend) {
  const bool had_lost_all = table_.HasLostAllPaths();
  if (!table_.NoteReachedByOther(backend.key, Now())) return;
  GlobalCounters().paths_cut_total.Add();
  Log(LogLevel::kWarning, "path_cut",
      {{"backend", backend.id},
       {"address", backend.address},
       {"cut_paths", std::to_string(table_.CutPaths())},
       {"lost_all", table_.HasLostAllPaths() ? "true" : "false"}});
  pool_.CloseIdle(backend.key);
  // The idle connections are as old as those that were lost.
  if (table_.HasLostAllPaths() && !had_lost_all) pool_.CloseOwn();
  NoteLostAll();
}

// Publishes whether this node can bridge: a node that has lost all its paths is not asked to.
void PathService::NoteLostAll() {
  if (std::exchange(announced_lost_all_, table_.HasLostAllPaths()) == table_.HasLostAllPaths())
    return;
  peers_.SetBridges(!table_.HasLostAllPaths());
  Log(LogLevel::kWarning, table_.HasLostAllPaths() ? "paths_lost" : "paths_back",
      {{"cut_paths", std::to_string(table_.CutPaths())}});
}

asio::awaitable<PathVerdict> PathService::Examine(Backend backend, TimePoint since,
                                                  std::optional<ConnectResult> own) {
  if (!peers_.HasBridge()) {
    // No other node offers to bridge, for example because none is live or all run an older build:
    // this node's own result counts, unless some of its paths are cut.
    const bool is_in_doubt = table_.CutPaths() > 0;
    co_return ReachabilityEvidence(own.value_or(ConnectResult::kFailed), is_in_doubt).Verdict();
  }
  if (table_.IsCut(backend.key)) co_return PathVerdict::kCut;
  const auto use = uses_.find(backend.key);
  if (use != uses_.end() && use->second->Heard() > since) co_return PathVerdict::kReachable;
  const auto known = examinations_.find(backend.key);
  if (known != examinations_.end()) {
    const std::shared_ptr<Examination> examination = known->second;
    boost::system::error_code ignored;
    co_await examination->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return examination->verdict.value_or(PathVerdict::kUnknown);
  }
  const auto examination = std::make_shared<Examination>(io_);
  examinations_[backend.key] = examination;
  examination->verdict = co_await Find(backend, own);
  examinations_.erase(backend.key);
  examination->done.cancel();
  co_return *examination->verdict;
}

asio::awaitable<PathVerdict> PathService::Find(Backend backend, std::optional<ConnectResult> own) {
  if (!own.has_value()) own = co_await ConnectOwn(backend);
  if (own == ConnectResult::kConnected) co_return PathVerdict::kReachable;
  const OnPending nobody = [](const std::shared_ptr<UpstreamConnection>&) {};
  std::vector<std::string> bridges = Bridges(backend.key, RegionSet(), kMaxObservers);
  const TimePoint limit = Now() + kRoundTimeout;
  const OpenedPath over =
      co_await AskOthers(backend, std::move(bridges), true, *own, limit, nobody);
  if (over.connection != nullptr) pool_.Keep(backend.key, over.connection, Now());
  co_return over.verdict;
}

// Connects directly and pools the connection unless it is reset at once.
asio::awaitable<ConnectResult> PathService::ConnectOwn(Backend backend) {
  const OnPending nobody = [](const std::shared_ptr<UpstreamConnection>&) {};
  const OpenedPath opened = co_await OpenOwn(backend, Now() + kDirectConnectTimeout, nobody);
  if (opened.connection == nullptr) co_return opened.own;
  const bool stands = co_await Stands(*opened.connection);
  if (!stands) {
    NoteFailed(backend.key);
    co_return ConnectResult::kRefused;
  }
  NoteStands(backend.key);
  pool_.Keep(backend.key, opened.connection, Now());
  co_return ConnectResult::kConnected;
}

asio::awaitable<bool> PathService::Stands(UpstreamConnection& connection) {
  Timer timer(io_);
  timer.expires_after(kResetObservation);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return connection.IsQuiet();
}

bool PathService::IsBridge(const std::string& host) const {
  const PeerRecord* peer = peers_.Find(host);
  return peer != nullptr && PeerTable::IsBridge(*peer);
}

// Hosts to ask: the last one that reached the back end, then nodes of this zone, then others, each
// group in random order.
std::vector<std::string> PathService::Bridges(BackendKey backend, const RegionSet& allowed,
                                              size_t most) {
  const TimePoint now = Now();
  std::erase_if(avoided_, [now](const auto& entry) { return now >= entry.second; });
  const RegionMap& regions = dispatcher_.Registry().Regions();
  std::vector<LivePeer> peers = peers_.Bridges();
  std::erase_if(peers, [&](const LivePeer& peer) {
    return avoided_.contains(peer.host) || !allowed.Allows(regions.IndexOfZone(peer.zone));
  });
  std::shuffle(peers.begin(), peers.end(), random_);
  const std::string zone = peers_.Self(now).zone;
  std::stable_partition(peers.begin(), peers.end(),
                        [&zone](const LivePeer& peer) { return peer.zone == zone; });
  const auto last = last_bridges_.find(backend);
  if (last != last_bridges_.end()) {
    std::stable_partition(peers.begin(), peers.end(),
                          [&last](const LivePeer& peer) { return peer.host == last->second.host; });
  }
  std::vector<std::string> hosts;
  for (const LivePeer& peer : peers) {
    if (hosts.size() >= most) break;
    hosts.push_back(peer.host);
  }
  return hosts;
}

// Examines the paths to back ends that are silent while requests wait.
void PathService::ExamineSilent(TimePoint now) {
  for (const auto& [backend, use] : uses_) {
    if (use->IsSilent(kSilence, now) && !table_.IsCut(backend)) ExamineSoon(backend);
  }
}

void PathService::ExamineSoon(BackendKey backend) {
  const TimePoint now = Now();
  TimePoint& examined = examined_[backend];
  if (now - examined < kExaminationInterval) return;
  examined = now;
  const Backend* known = dispatcher_.Registry().FindByKey(backend);
  if (known == nullptr || !dispatcher_.Registry().MayContact(backend, now)) return;
  asio::co_spawn(io_, Examine(*known, now), asio::detached);
}

void PathService::Tick(TimePoint now) {
  ExamineSilent(now);
  for (const BackendKey backend : table_.TakeProbes(now, kMaxConcurrentProbes)) {
    const Backend* known = dispatcher_.Registry().FindByKey(backend);
    if (known != nullptr) asio::co_spawn(io_, ConnectOwn(*known), asio::detached);
  }
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kCleanupInterval;
  const auto is_known = [this](BackendKey backend) {
    return dispatcher_.Registry().FindByKey(backend) != nullptr;
  };
  table_.ForgetUnless(is_known);
  NoteLostAll();
  for (auto* uses : {&uses_, &bridged_uses_}) {
    std::erase_if(*uses,
                  [&](const auto& use) { return use.second->IsIdle() && !is_known(use.first); });
  }
  std::erase_if(examined_, [&](const auto& entry) { return !is_known(entry.first); });
  std::erase_if(last_bridges_, [&](const auto& entry) {
    return !is_known(entry.first) || now - entry.second.when > kLastBridgeRetention;
  });
}

}  // namespace cartsail
