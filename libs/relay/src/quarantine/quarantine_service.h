// Keeps requests under which back ends end from all further back ends, whatever id they come under
// and whichever node they come to. The node that had a request at a back end that ended tells a few
// nodes, chosen by the request; each of them counts by itself, and the first that has counted
// enough tells all nodes and has it recorded in the store, for nodes that start or come back later.
// Where all back ends ended at one moment, nodes are asked first whether it ran to the end. Any
// node at which a back end has run the request to the end since lifts that again. One thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/quarantine/backend_end_watch.h"
#include "cartsail/quarantine/quarantine_list.h"
#include "cartsail/quarantine/recent_runs.h"
#include "cartsail/quarantine/strike_ledger.h"
#include "cartsail/reachability/end_evidence.h"
#include "fleet/peer_table.h"
#include "quarantine/quarantine_message.h"
#include "upstream/upstream_pool.h"

namespace cartsail {

class QuarantineService {
 public:
  // How messages reach other nodes.
  struct Transport {
    std::function<void(const std::string& host, const StrikeReport& report)> send;
    std::function<void(const std::string& host, const QuarantineNotice& notice)> tell;
    // To all live nodes.
    std::function<void(const QuarantineNotice& notice)> spread;
  };

  // How the store keeps quarantines.
  struct Recorder {
    // `rank`: this node's place among those that count; the first one writes at once.
    std::function<void(RequestFingerprint request, size_t rank)> record;
    std::function<void(RequestFingerprint request)> erase;
  };

  // Finds out, with other nodes, why a back end has refused a connection to this one.
  using Examine = std::function<boost::asio::awaitable<PathVerdict>(Backend backend)>;

  using WatchId = uint64_t;

  // `host`: of this node, as its peers know it. A probe of a back end takes `connect_timeout` at
  // most.
  QuarantineService(boost::asio::io_context& io, std::string host, Duration connect_timeout,
                    const Dispatcher& dispatcher, const PeerTable& peers, UpstreamPool& pool,
                    Examine examine);

  // Without a transport this node counts by itself.
  void SetTransport(Transport transport) { transport_ = std::move(transport); }

  // Without a recorder nothing outlives the nodes.
  void SetRecorder(Recorder recorder) { recorder_ = std::move(recorder); }

  // How long the request is still kept from back ends; nothing when it may be sent. To be asked
  // right before every send.
  std::optional<Duration> LeftFor(RequestFingerprint request, TimePoint now) const;

  // Calls `on_quarantined` when the request is quarantined before Unwatch().
  WatchId Watch(RequestFingerprint request, std::function<void()> on_quarantined);
  void Unwatch(RequestFingerprint request, WatchId watch);

  // A back end has run the request to the end.
  void NoteCompleted(RequestFingerprint request, TimePoint now);

  // The connection to a back end broke while it had the request.
  void NoteBroken(RequestFingerprint request, const Backend& backend, TimePoint now);

  // Its host refuses connections to more than this node, or another process has its address. That
  // it takes connections proves nothing: see BackendEndWatch.
  void NoteEnded(BackendKey backend, TimePoint now);
  void NoteReplaced(BackendKey backend, TimePoint now);

  // The back end has answered a request that was sent at `sent`.
  void NoteAnswered(BackendKey backend, TimePoint sent) { ends_.NoteAnswered(backend, sent); }

  void OnStrikes(const StrikeReport& report);
  void OnNotice(const QuarantineNotice& notice, TimePoint now);

  // The store has a record, or no longer.
  void NoteRecorded(RequestFingerprint request, TimePoint now);
  void NoteErased(RequestFingerprint request, TimePoint now);

  // As a peer's catalog tells them.
  void Merge(const std::vector<QuarantinedRequest>& quarantined, TimePoint now);

  const QuarantineList& List() const { return list_; }

  // To be called about twice a second.
  void Tick(TimePoint now);

 private:
  boost::asio::awaitable<void> Probe(Backend backend);
  boost::asio::awaitable<void> AskOthers(Backend backend);
  boost::asio::awaitable<bool> StaysOpen(UpstreamConnection& connection);
  boost::asio::awaitable<void> TellStrikes(std::vector<Strike> strikes);
  boost::asio::awaitable<void> TellAll(QuarantineNotice notice);
  boost::asio::awaitable<void> Pause(Duration duration);
  void Report(const std::vector<Strike>& strikes, TimePoint now);
  void Count(const Strike& strike);
  void Suspect(const Verdict& verdict, TimePoint now);
  boost::asio::awaitable<void> DecideLater(RequestFingerprint request);
  void Decide(const Verdict& verdict, TimePoint now);
  void Quarantine(const QuarantinedRequest& quarantined, std::string_view source, TimePoint now);
  void Lift(RequestFingerprint request, std::string_view why, TimePoint now);
  void LiftEverywhere(RequestFingerprint request, std::string_view why, TimePoint now);
  void TellLifted(RequestFingerprint request);
  void TellCounters(RequestFingerprint request);
  std::vector<std::string> CountersOf(RequestFingerprint request) const;
  bool IsReady(BackendKey backend) const;

  boost::asio::io_context& io_;
  std::string host_;
  Duration connect_timeout_;
  const Dispatcher& dispatcher_;
  const PeerTable& peers_;
  UpstreamPool& pool_;
  Examine examine_;
  Transport transport_;
  Recorder recorder_;
  BackendEndWatch ends_;
  RecentRuns runs_;
  StrikeLedger ledger_;
  QuarantineList list_;
  std::unordered_set<RequestFingerprint> suspected_;  // DecideLater() runs
  std::unordered_map<RequestFingerprint, std::map<WatchId, std::function<void()>>> watches_;
  WatchId next_watch_ = 1;
};

}  // namespace cartsail
