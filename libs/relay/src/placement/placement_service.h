// Places requests through the coordinator of their service: a node that tracks all requests of the
// service and so knows the current load of every back end. Any node can be the coordinator, and its
// state can be lost without harm. If no coordinator answers, this node places requests by itself.
// Also answers other nodes' questions. Single-threaded.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/base/timer.h"
#include "cartsail/dispatch/dispatcher.h"
#include "cartsail/dispatch/grant_book.h"
#include "fleet/datagram.h"
#include "fleet/peer_table.h"
#include "placement/cold_backend_log.h"
#include "upstream/upstream_pool.h"

namespace cartsail {

// The back end chosen for a request, or why there is none.
struct PlacementResult {
  std::optional<Placement> placement;  // nullopt: no back end is left
  // Set if only metered back ends are left and none may get the request now: the request must be
  // refused, and may be retried after this time.
  std::optional<Duration> metered_wait;
};

class PlacementService {
 public:
  // Sends messages to the node at `host`.
  struct Transport {
    std::function<void(const std::string& host, const Datagram& datagram)> send;
    // Sends this node's load to `host` at once.
    std::function<void(const std::string& host)> announce;
  };

  PlacementService(boost::asio::io_context& io, Dispatcher& dispatcher, PeerTable& peers,
                   const UpstreamPool& pool);

  // Without a transport, this node places all requests by itself.
  void SetTransport(Transport transport) { transport_ = std::move(transport); }

  // Places a request as Dispatcher::Place() does. May wait some milliseconds for the coordinator.
  boost::asio::awaitable<PlacementResult> Place(const RequestProfile& profile,
                                                const std::vector<BackendKey>& tried);

  // Reports output of a placed request.
  void Output(PlacementTicket ticket, TimePoint now);
  // Reports the end of the attempt at the chosen back end.
  void Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now);

  // Handlers of messages from the node at `host`.
  void OnQuestion(const std::string& host, const PlacementQuestion& question, TimePoint now);
  void OnAnswer(const std::string& host, const PlacementAnswer& answer);
  void OnProgress(const std::string& host, const ProgressReport& report, TimePoint now);

  // `live`: all questions of `host` whose requests have not ended.
  void OnLiveQuestions(const std::string& host, const std::vector<PlacementQueryId>& live,
                       TimePoint now);

  // Returns this node's questions to `host` whose requests have not ended.
  std::vector<PlacementQueryId> LiveQuestions(const std::string& host) const;

  // True if this node may grant requests to cold back ends of `service`.
  bool GrantsToCold(const std::string& service, TimePoint now) const {
    return GrantRightFor(service, now).to_cold;
  }

  // Call about twice per second.
  void Tick(TimePoint now);

  // Number of other nodes' requests that this node tracks as coordinator.
  size_t Followed() const { return grants_.Size(); }

 private:
  // A question that waits for its answer.
  struct PendingQuestion {
    std::string host;
    Timer timer;  // cancelled when the answer arrives
    std::optional<PlacementAnswer> answer;
  };

  // A running request that a coordinator placed.
  struct Question {
    std::string host;
    PlacementQueryId id = 0;
    bool output_reported = false;
  };

  // A coordinator that did not answer; it is not asked again before `until`.
  struct Suspicion {
    TimePoint until;
    int failures = 0;
  };

  // This node's right to grant requests to metered back ends; empty if `service` cannot have any.
  GrantAuthority GrantRightFor(const std::string& service, TimePoint now) const;
  void CountMetered(const Placement& placement) const;
  PlacementResult PlaceLocally(const RequestProfile& profile, const std::vector<BackendKey>& tried);
  boost::asio::awaitable<PlacementResult> PlaceByCoordinator(const RequestProfile& profile,
                                                             const std::vector<BackendKey>& tried);
  PlacementQuestion MakeQuestion(const RequestProfile& profile,
                                 const std::vector<BackendKey>& tried);
  std::optional<Placement> AdoptAnswer(const std::string& host, const PlacementQuestion& question,
                                       const PlacementAnswer& answer, TimePoint asked);
  boost::asio::awaitable<std::optional<PlacementAnswer>> Ask(const std::string& host,
                                                             PlacementQuestion question);
  boost::asio::awaitable<bool> WaitForAnswer(PendingQuestion& waiting, Duration timeout);
  bool IsSuspected(const std::string& host, TimePoint now) const;
  void Suspect(const std::string& host, TimePoint now);
  void NoteCoordinator(const std::string& service, const std::string& host);
  void QueueProgress(const std::string& host, const RequestProgress& progress);
  void FlushProgress();

  boost::asio::io_context& io_;
  Dispatcher& dispatcher_;
  PeerTable& peers_;
  const UpstreamPool& pool_;
  Transport transport_;
  GrantBook grants_;
  std::map<PlacementQueryId, PendingQuestion*> pending_questions_;
  std::unordered_map<PlacementTicket, Question> questions_;
  std::map<std::string, Suspicion> suspicions_;      // by host
  std::map<std::string, std::string> coordinators_;  // last used host, by service
  std::map<std::string, ProgressReport> progress_;   // not yet sent, by host
  Timer progress_timer_;
  ColdBackendLog cold_backend_log_;
  PlacementQueryId next_question_;
};

}  // namespace cartsail
