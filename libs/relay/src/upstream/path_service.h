// The ways from this node to back ends: its own paths, or over another node that has one. Finds out
// which of its own paths are cut, by its connections and by what other nodes reach, without waiting
// for a request to fail on each. One thread.
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
#include "fleet/peer_table.h"
#include "upstream/upstream_pool.h"

namespace cartsail {

// A connection to a back end that a request may use.
struct OpenedPath {
  std::shared_ptr<UpstreamConnection> connection;  // nullptr: there is none
  ConnectResult own = ConnectResult::kConnected;   // of this node's own connecting, if it tried
  // Without a connection: what that says.
  PathVerdict verdict = PathVerdict::kUnknown;
  bool says_nothing_of_backend = false;
};

class PathService {
 public:
  // Called with each connection that is being made, so that it can be given up.
  using OnPending = std::function<void(std::shared_ptr<UpstreamConnection>)>;

  // `connect_timeout`: to connect to a back end where there is no other way; outlives this.
  // `bridge_port`: at which nodes bridge.
  PathService(boost::asio::io_context& io, const Duration& connect_timeout, uint16_t bridge_port,
              const Dispatcher& dispatcher, PeerTable& peers, UpstreamPool& pool);

  // For a request that may be served in `allowed`: an idle connection, or a new one, on this node's
  // own path, or over another node in one of these regions.
  boost::asio::awaitable<OpenedPath> Open(Backend backend, RegionSet allowed, TimePoint deadline,
                                          OnPending on_pending);

  // What keeps this node from the back end, if something does. Connections that are made are kept.
  // Where something was heard on this node's own path since `since`, or nobody else can be asked,
  // nothing is tried. `own`: how a connection of this node's own has just ended, if one was tried.
  boost::asio::awaitable<PathVerdict> Examine(Backend backend, TimePoint since,
                                              std::optional<ConnectResult> own = std::nullopt);

  // The same, without waiting for it, once in a while.
  void ExamineSoon(BackendKey backend);

  // To be called about ten times a second.
  void Tick(TimePoint now);

  // For those that this node bridges to: it knows that it has no path there itself.
  bool IsCut(BackendKey backend) const { return table_.IsCut(backend); }

  // A connection of this node's own was not made, or stands.
  void NoteFailed(BackendKey backend);
  void NoteStands(BackendKey backend);

  // False where the connection, just made, is reset at once: there are paths that do so.
  boost::asio::awaitable<bool> Stands(UpstreamConnection& connection);

  // What this node's own connections to it are doing, those made for other nodes included.
  std::shared_ptr<PathUse> UseOf(BackendKey backend);

  size_t CutPaths() const { return table_.CutPaths(); }

 private:
  // An examination under way, for which others may wait too.
  struct Examination {
    explicit Examination(boost::asio::io_context& io) : done(io, TimePoint::max()) {}
    Timer done;  // cancelled at the end
    std::optional<PathVerdict> verdict;
  };

  // Other nodes are asked to reach a back end.
  struct AskingRound {
    AskingRound(boost::asio::io_context& io, ReachabilityEvidence known)
        : evidence(known), changed(io) {}

    bool MayAskNext(TimePoint now) const { return running == 0 || now >= next; }
    void NoteAsked(TimePoint next_one) {
      ++running;
      next = next_one;
    }

    ReachabilityEvidence evidence;
    std::shared_ptr<UpstreamConnection> connection;  // of the first one that reached it
    int running = 0;
    TimePoint next{};  // when one more is asked
    bool is_over = false;
    Timer changed;  // cancelled by each answer
  };

  // The node over which a back end was reached last.
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
  void NoteBridge(BackendKey backend, const std::string& host, BridgeResult result);
  void NoteReached(const Backend& backend);
  void GiveUpSilent(TimePoint now);
  void NoteLostAll();

  boost::asio::io_context& io_;
  const Duration& connect_timeout_;
  uint16_t bridge_port_;
  const Dispatcher& dispatcher_;
  PeerTable& peers_;
  UpstreamPool& pool_;
  PathTable table_;
  std::unordered_map<BackendKey, std::shared_ptr<PathUse>> uses_;
  std::unordered_map<BackendKey, TimePoint> examined_;  // for silence, last
  std::unordered_map<BackendKey, std::shared_ptr<Examination>> examinations_;
  std::unordered_map<BackendKey, LastBridge> last_bridges_;
  std::map<std::string, TimePoint> avoided_;  // nodes that did not answer, until then
  std::minstd_rand random_;
  bool told_lost_all_ = false;
  TimePoint next_forgetting_{};
};

}  // namespace cartsail
