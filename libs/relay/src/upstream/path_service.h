// Opens connections to back ends, directly or over another node that reaches the back end. Detects
// cut direct paths from this node's connections and from what other nodes reach, without waiting
// for a request to fail on each path. Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/base/timer.h"
#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/reachability/path_table.h"
#include "cartsail/reachability/reachability_evidence.h"
#include "cartsail/reachability/silence_evidence.h"
#include "fleet/peer_table.h"
#include "upstream/upstream_pool.h"

namespace cartsail {

// A connection to a back end that a request may use.
struct OpenedPath {
  std::shared_ptr<UpstreamConnection> connection;  // nullptr if none was opened
  ConnectResult own = ConnectResult::kConnected;   // result of connecting directly, if tried
  // What the attempt showed about the path; kUnknown if nothing.
  PathVerdict verdict = PathVerdict::kUnknown;
  // The failure is no evidence about the back end: the path may be at fault.
  bool says_nothing_of_backend = false;
};

// What a request learns that is sent elsewhere although most of its service is silent.
enum class TrialTarget : uint8_t {
  kIdle,    // whether a back end that this node does not use is sound
  kSilent,  // whether a silent back end answers on a new connection
};

class PathService {
 public:
  // Called with each connection before it is established, so that the caller can close it.
  using OnPending = std::function<void(std::shared_ptr<UpstreamConnection>)>;

  // `connect_timeout`: limit for connecting directly when no node can bridge; must outlive this.
  // `bridge_port`: the port on which nodes accept bridges.
  PathService(boost::asio::io_context& io, const Duration& connect_timeout, uint16_t bridge_port,
              const Dispatcher& dispatcher, PeerTable& peers, UpstreamPool& pool);

  // Opens a connection for a request that may be served in the `allowed` regions: an idle or a new
  // one, direct or over another node in one of these regions.
  boost::asio::awaitable<OpenedPath> Open(Backend backend, RegionSet allowed, TimePoint deadline,
                                          OnPending on_pending);

  // Determines whether this node, or any, can reach the back end. Connections made are pooled.
  // Nothing is tried if the path is known to be cut, if data was received on the direct path after
  // `since`, or if no other node can bridge. `own`: the result of a direct connect just made;
  // std::nullopt if none was.
  boost::asio::awaitable<PathVerdict> Examine(Backend backend, TimePoint since,
                                              std::optional<ConnectResult> own = std::nullopt);

  // Starts Examine() in the background, at most once per kExaminationInterval and back end.
  void ExamineSoon(BackendKey backend);

  // Periodic work; to be called about ten times a second.
  void Tick(TimePoint now);

  // True if this node's direct path is known to be cut, so that it cannot bridge to the back end.
  bool IsCut(BackendKey backend) const { return table_.IsCut(backend); }

  // Records that a direct connection could not be made, or that one is established.
  void NoteFailed(BackendKey backend);
  void NoteStands(BackendKey backend);

  // False if the new connection is reset at once, as some faulty paths do.
  boost::asio::awaitable<bool> Stands(UpstreamConnection& connection);

  // Activity on the direct connections to the back end, including those made for other nodes.
  std::shared_ptr<PathUse> UseOf(BackendKey backend);

  // What this node sees of the back end and of its service while an attempt there, over another
  // node if `is_bridged`, has received no data since `since`.
  SilenceEvidence EvidenceOf(const Backend& backend, bool is_bridged, TimePoint since,
                             TimePoint now);

  // Permits a request to be sent elsewhere although most of `service` is silent: one a second for
  // each target. nullopt: none is permitted now.
  std::optional<TrialTarget> TakeTrial(const std::string& service, TimePoint now);

  // A trial was answered: for some time, silence of the service is taken for that of connections.
  void NoteTrialAnswered(const std::string& service, TimePoint now);

  // True if data was received from the back end after `since`, on any connection.
  bool WasHeardSince(BackendKey backend, TimePoint since) const;

  // Activity on this node's connections to the back ends of `service` that it uses; up to 50 ms
  // old. A back end that is used directly and over other nodes is listed twice.
  const std::vector<BackendActivity>& ActivityOf(const std::string& service, TimePoint now);

  size_t CutPaths() const { return table_.CutPaths(); }

 private:
  // An examination in progress, which several callers may await.
  struct Examination {
    explicit Examination(boost::asio::io_context& io) : done(io, TimePoint::max()) {}
    Timer done;  // cancelled when the verdict is set
    std::optional<PathVerdict> verdict;
  };

  // A round of asking other nodes to connect to a back end.
  struct AskingRound {
    AskingRound(boost::asio::io_context& io, ReachabilityEvidence known)
        : evidence(known), changed(io) {}

    bool MayAskNext(TimePoint now) const { return running == 0 || now >= next; }
    void NoteAsked(TimePoint next_one) {
      ++running;
      next = next_one;
    }

    ReachabilityEvidence evidence;
    std::shared_ptr<UpstreamConnection> connection;  // from the first node that reached it
    int running = 0;
    TimePoint next{};  // when the next node may be asked
    bool is_over = false;
    Timer changed;  // cancelled by each result
  };

  // The activity of all back ends of a service, as read at one time.
  struct ServiceActivity {
    TimePoint read{};
    std::vector<BackendActivity> backends;
  };

  struct Trials {
    TimePoint next_idle{};    // when the next one at an idle back end is permitted
    TimePoint next_silent{};  // the same, at a silent one
    TimePoint answered{};     // the last one that was answered; the zero time if none
  };

  // The node over which a back end was last reached.
  struct LastBridge {
    std::string host;
    TimePoint when;
  };

  std::shared_ptr<UpstreamConnection> TakeIdle(BackendKey backend, const RegionSet& allowed);
  boost::asio::awaitable<OpenedPath> OpenOwn(const Backend& backend, TimePoint deadline,
                                             const OnPending& on_pending);
  boost::asio::awaitable<OpenedPath> OpenOver(const Backend& backend, const RegionSet& allowed,
                                              ConnectResult own, TimePoint deadline,
                                              const OnPending& on_pending);
  boost::asio::awaitable<OpenedPath> AskOthers(const Backend& backend,
                                               std::vector<std::string> bridges, bool fresh,
                                               ConnectResult own, TimePoint deadline,
                                               const OnPending& on_pending);
  boost::asio::awaitable<void> AskOne(std::shared_ptr<AskingRound> round, Backend backend,
                                      std::string host, bool fresh,
                                      std::shared_ptr<UpstreamConnection> connection);
  boost::asio::awaitable<PathVerdict> Find(Backend backend, std::optional<ConnectResult> own);
  boost::asio::awaitable<ConnectResult> ConnectOwn(Backend backend);
  std::vector<std::string> Bridges(BackendKey backend, const RegionSet& allowed, size_t most);
  bool IsBridge(const std::string& host) const;
  std::shared_ptr<PathUse> BridgedUseOf(BackendKey backend);
  void NoteBridge(BackendKey backend, const std::string& host, BridgeResult result);
  void NoteReached(const Backend& backend);
  void ExamineSilent(TimePoint now);
  void NoteLostAll();

  boost::asio::io_context& io_;
  const Duration& connect_timeout_;
  uint16_t bridge_port_;
  const Dispatcher& dispatcher_;
  PeerTable& peers_;
  UpstreamPool& pool_;
  PathTable table_;
  std::unordered_map<BackendKey, std::shared_ptr<PathUse>> uses_;          // direct
  std::unordered_map<BackendKey, std::shared_ptr<PathUse>> bridged_uses_;  // over other nodes
  std::map<std::string, Trials> trials_;                                   // by service
  std::map<std::string, ServiceActivity> activities_;                      // by service
  std::unordered_map<BackendKey, TimePoint> examined_;  // last ExamineSoon() that ran
  std::unordered_map<BackendKey, std::shared_ptr<Examination>> examinations_;
  std::unordered_map<BackendKey, LastBridge> last_bridges_;
  std::map<std::string, TimePoint> avoided_;  // nodes lost or busy: not asked before this
  std::minstd_rand random_;
  bool announced_lost_all_ = false;
  TimePoint next_cleanup_{};
};

}  // namespace cartsail
