// Quarantines requests under which back ends terminate: they are sent to no further back end,
// whatever id they come with and whichever node receives them. The node that had a request at a
// back end that terminated reports a strike to a few nodes, chosen by the request. Each of these
// counts on its own; the first to reach the limit notifies all nodes and has the quarantine
// recorded in the store, for nodes that start or come back later. When all of the back ends
// terminated at one moment, nodes are asked first whether the request has completed. Any node at
// which a back end has completed the request since then lifts the quarantine. Requests may differ
// in all but a part of their prompts: PartStrikeService finds such parts, and all requests with
// them are quarantined in the same way. Not thread-safe.
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
#include "cartsail/quarantine/backend_exit_detector.h"
#include "cartsail/quarantine/quarantine_list.h"
#include "cartsail/quarantine/recent_completions.h"
#include "cartsail/quarantine/strike_ledger.h"
#include "cartsail/quarantine/trial_schedule.h"
#include "cartsail/reachability/reachability_evidence.h"
#include "fleet/peer_table.h"
#include "quarantine/part_strike_service.h"
#include "quarantine/quarantine_message.h"
#include "upstream/upstream_pool.h"

namespace cartsail {

class QuarantineService {
 public:
  // Sends messages to other nodes.
  struct Transport {
    std::function<void(const std::string& host, const StrikeReport& report)> send_strikes;
    std::function<void(const std::string& host, const QuarantineNotice& notice)> send_notice;
    // To all live nodes.
    std::function<void(const QuarantineNotice& notice)> broadcast_notice;
    std::function<void(const std::string& host, const PartStrikes& strikes)> send_part_strikes;
    std::function<void(const std::string& host, const PartCompletions& completions)>
        send_part_completions;
    // To all live nodes.
    std::function<void(const PartInquiry& inquiry)> broadcast_part_inquiry;
  };

  // Records quarantines in the store.
  struct Recorder {
    // `rank`: this node's place, from 0, among the nodes that count the strikes; the first one
    // writes at once.
    std::function<void(const QuarantinedRequest& quarantined, size_t rank)> record;
    std::function<void(RequestFingerprint request)> erase;
  };

  // Determines, with the help of other nodes, why a back end has refused a connection from this
  // node.
  using ExaminePath = std::function<boost::asio::awaitable<PathVerdict>(Backend backend)>;

  using WatchId = uint64_t;

  // `host`: this node's host, as its peers know it. `connect_timeout`: limit for each connection
  // attempt of a probe.
  QuarantineService(boost::asio::io_context& io, std::string host, Duration connect_timeout,
                    const Dispatcher& dispatcher, const PeerTable& peers, UpstreamPool& pool,
                    ExaminePath examine);

  // Without a transport this node counts only its own strikes.
  void SetTransport(Transport transport);

  // Without a recorder quarantines do not survive a restart of all nodes.
  void SetRecorder(Recorder recorder) { recorder_ = std::move(recorder); }

  // Returns the remaining quarantine of the request; nullopt when it may be sent. Must be called
  // right before every send.
  std::optional<Duration> LeftFor(const RequestTraits& traits, TimePoint now) const;

  // What the request is quarantined for; nullopt when it may be sent.
  std::optional<QuarantinedRequest> ReasonFor(const RequestTraits& traits, TimePoint now) const;

  // True if the request, which is quarantined, may be sent once nevertheless, to find out whether
  // it is harmless.
  bool TakeTrial(const RequestTraits& traits, TimePoint now);

  // The request that took a trial was sent to no back end: another one may try soon.
  void ReturnTrial(const RequestTraits& traits, TimePoint now);

  // Calls `on_quarantined` when the request is quarantined before Unwatch().
  WatchId Watch(const RequestTraits& traits, std::function<void()> on_quarantined);
  void Unwatch(WatchId watch);

  // A back end has run the request to completion.
  void NoteCompleted(const RequestTraits& traits, TimePoint now);

  // The connection to a back end broke while it had the request. `traits`: with those parts that
  // may have crashed the back end.
  void NoteBroken(const RequestTraits& traits, const Backend& backend, TimePoint now);

  // The back end has terminated: its host refuses connections from other nodes too (NoteEnded), or
  // another process has its address (NoteReplaced). Accepted connections prove nothing: see
  // BackendExitDetector.
  void NoteEnded(BackendKey backend, TimePoint now);
  void NoteReplaced(BackendKey backend, TimePoint now);

  // The back end has answered a request that was sent at `sent`.
  void NoteAnswered(BackendKey backend, TimePoint sent) { ends_.NoteAnswered(backend, sent); }

  void OnStrikes(const StrikeReport& report);
  void OnNotice(const QuarantineNotice& notice, TimePoint now);

  // The store has a quarantine record of the request, or has it no longer. `parts`: as for
  // QuarantinedRequest.
  void NoteRecorded(RequestFingerprint request, const std::vector<PartFingerprint>& parts,
                    TimePoint now);
  void NoteErased(RequestFingerprint request, TimePoint now);

  // Adds the quarantines that a peer's catalog lists.
  void Merge(const std::vector<QuarantinedRequest>& quarantined, TimePoint now);

  const QuarantineList& List() const { return list_; }
  PartStrikeService& Parts() { return parts_; }

  // Must be called about twice a second.
  void Tick(TimePoint now);

 private:
  struct Watcher {
    RequestTraits traits;
    std::function<void()> on_quarantined;
  };

  boost::asio::awaitable<void> Probe(Backend backend);
  boost::asio::awaitable<void> ExamineRefusal(Backend backend);
  boost::asio::awaitable<bool> StaysOpen(UpstreamConnection& connection);
  boost::asio::awaitable<void> SendStrikes(std::vector<Strike> strikes);
  boost::asio::awaitable<void> BroadcastNotice(QuarantineNotice notice);
  boost::asio::awaitable<void> Pause(Duration duration);
  void ReportStrikes(const std::vector<Strike>& strikes, TimePoint now);
  void Count(const Strike& strike);
  void Suspect(const Verdict& verdict, TimePoint now);
  boost::asio::awaitable<void> DecideLater(RequestFingerprint request);
  // True if a back end has completed the request here since shortly before its first strike.
  bool IsExonerated(RequestFingerprint request, TimePoint first_strike) const;
  void Decide(const Verdict& verdict, TimePoint now);
  void DecideGroup(const SuspectedGroup& group, TimePoint now);
  // The quarantines of groups with the part go on without it.
  void ExonerateInGroups(PartFingerprint part, TimePoint now);
  // Lifts what was quarantined for exits that a quarantined group with these exits explains.
  void LiftExplained(const std::vector<BackendKey>& exits, TimePoint now);
  std::vector<std::vector<BackendKey>> ExitsByRequests() const;
  void Quarantine(const QuarantinedRequest& quarantined, std::string_view source, TimePoint now);
  void Lift(const QuarantineNotice& notice, std::string_view why, TimePoint now);
  void OnLifted(const QuarantineNotice& notice, TimePoint now);
  void LiftEverywhere(RequestFingerprint request, std::string_view why, TimePoint now);
  void BroadcastLifted(const QuarantineNotice& notice);
  void NotifyCountingNodes(RequestFingerprint request);
  std::vector<std::string> CountingNodesOf(RequestFingerprint request) const;
  bool IsReady(BackendKey backend) const;

  boost::asio::io_context& io_;
  std::string host_;
  Duration connect_timeout_;
  const Dispatcher& dispatcher_;
  const PeerTable& peers_;
  UpstreamPool& pool_;
  ExaminePath examine_path_;
  Transport transport_;
  Recorder recorder_;
  BackendExitDetector ends_;
  RecentCompletions runs_;
  StrikeLedger ledger_;
  QuarantineList list_;
  std::unordered_set<RequestFingerprint> suspected_;  // those whose DecideLater() runs
  // Quarantined by this node for exits at one moment, as may happen to any popular request.
  std::unordered_set<RequestFingerprint> simultaneous_;
  TrialSchedule trials_;  // of these
  std::map<WatchId, Watcher> watches_;
  WatchId next_watch_ = 1;
  PartStrikeService parts_;
};

}  // namespace cartsail
