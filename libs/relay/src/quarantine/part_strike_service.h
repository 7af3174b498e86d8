// Finds the prompt parts that crash back ends, together with the other nodes. A node that had
// requests at a back end that exited reports their parts to a few nodes, chosen by the service.
// Each of these counts on its own, and asks all nodes which of the parts back ends have completed:
// these are harmless. Decides which groups of parts are quarantined. Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cartsail/quarantine/part_strike_ledger.h"
#include "cartsail/quarantine/recent_completions.h"
#include "cartsail/quarantine/strike.h"
#include "cartsail/quarantine/trial_schedule.h"
#include "fleet/peer_table.h"
#include "quarantine/quarantine_message.h"

namespace cartsail {

class PartStrikeService {
 public:
  // Sends messages to other nodes.
  struct Transport {
    std::function<void(const std::string& host, const PartStrikes& strikes)> send_strikes;
    std::function<void(const std::string& host, const PartCompletions& completions)>
        send_completions;
    // To all live nodes.
    std::function<void(const PartInquiry& inquiry)> broadcast_inquiry;
  };

  // Carries out, on all nodes, what this node has decided.
  struct Decisions {
    std::function<void(const SuspectedGroup& group)> quarantine;
    std::function<void(RequestFingerprint group, std::string_view why)> lift;
    // The part is harmless: quarantines of groups that have it are to go on without it.
    std::function<void(PartFingerprint part)> exonerate;
    // For each quarantined request, the back ends that exited while running it, in ascending order.
    std::function<std::vector<std::vector<BackendKey>>()> exits_by_requests;
  };

  // `host`: this node's host, as its peers know it.
  PartStrikeService(boost::asio::io_context& io, std::string host, const PeerTable& peers,
                    Decisions decisions);

  // Without a transport this node counts only its own strikes.
  void SetTransport(Transport transport) { transport_ = std::move(transport); }

  // A back end has run a request with these parts to completion.
  void NoteCompleted(const SharedParts& completed, TimePoint now);

  // The same, and the nodes that count must hear of it at once.
  void ReportCompleted(const SharedParts& completed, TimePoint now);

  // Back ends exited while they had requests of this node.
  void ReportExits(const std::vector<Strike>& strikes);

  void OnStrikes(const PartStrikes& strikes);
  void OnInquiry(const PartInquiry& inquiry, TimePoint now);
  void OnCompletions(const PartCompletions& completions, TimePoint now);

  // True if the request with these parts may be sent although `group` is quarantined: now and then
  // one node sends one, if nothing else of it is suspected. A group that is quarantined wrongly is
  // freed so; nothing else could, as its requests are refused everywhere.
  bool TakeTrial(const QuarantinedRequest& group, const SharedParts& request, TimePoint now);

  // The request that took the trial was sent to no back end.
  void ReturnTrial(RequestFingerprint group, TimePoint now) { trials_.Return(group, now); }

  // This node's place, from 0, among the nodes that count the service's strikes.
  size_t RankFor(ServiceKey service) const;

  // Must be called about twice a second.
  void Tick(TimePoint now);

 private:
  struct WatchedPart {
    ServiceKey service = 0;
    TimePoint until;
  };

  struct PendingInquiry {
    std::set<PartFingerprint> parts;
    TimePoint first_strike;
  };

  struct PendingExit {
    std::set<PartFingerprint> parts;
    TimePoint when;
  };

  using Groups = std::map<RequestFingerprint, SuspectedGroup>;
  using ExitKey = std::pair<BackendKey, ServiceKey>;

  boost::asio::awaitable<void> ReportExit(ExitKey key);
  bool MayReport(TimePoint now);
  void Report(PartCompletions completions, TimePoint now);
  void Count(const PartStrikes& strikes);
  void Inquire(ServiceKey service, const std::vector<PartFingerprint>& parts, TimePoint struck);
  void ScheduleEvaluation(ServiceKey service);
  void Evaluate(ServiceKey service);
  boost::asio::awaitable<void> SendStrikes(PartStrikes strikes);
  boost::asio::awaitable<void> SendCompletions(PartCompletions completions);
  boost::asio::awaitable<void> SendInquiry(ServiceKey service);
  boost::asio::awaitable<void> EvaluateLater(ServiceKey service);
  boost::asio::awaitable<void> Pause(Duration duration);
  std::vector<std::string> CountingNodesOf(ServiceKey service) const;

  boost::asio::io_context& io_;
  std::string host_;
  const PeerTable& peers_;
  Decisions decisions_;
  Transport transport_;
  RecentCompletions completions_;  // by part
  PartStrikeLedger ledger_;
  std::unordered_map<PartFingerprint, WatchedPart> watched_;  // whose completion is to be told
  std::map<ExitKey, PendingExit> exits_;                      // whose ReportExit() runs
  std::map<ServiceKey, PendingInquiry> inquiries_;            // whose SendInquiry() runs
  std::set<ServiceKey> evaluating_;                           // whose EvaluateLater() runs
  std::map<ServiceKey, Groups> decided_;                      // by this node
  TrialSchedule trials_;
  TimePoint reports_since_{};  // start of the current second
  int reports_ = 0;            // since then
};

}  // namespace cartsail
