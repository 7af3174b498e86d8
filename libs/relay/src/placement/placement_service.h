// Places requests through the coordinator of their service, a node that follows all requests of
// that service and so knows every back end's load to the moment. Any node may be the coordinator;
// its state is soft. Where none answers, this node places by itself. Also answers other nodes'
// questions. One thread.
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

// Where a request goes.
struct PlacementResult {
  std::optional<Placement> placement;  // nothing: no back end is left
  // Only metered back ends are left, and none may get the request now: it is to be refused, and may
  // be tried again after this time.
  std::optional<Duration> metered_wait;
};

class PlacementService {
 public:
  // How messages reach the node at `host`.
  struct Transport {
    std::function<void(const std::string& host, const Datagram& datagram)> send;
    // Tells `host` of this node's load at once.
    std::function<void(const std::string& host)> announce;
  };

  PlacementService(boost::asio::io_context& io, Dispatcher& dispatcher, PeerTable& peers,
                   const UpstreamPool& pool);

  // Without a transport this node places all requests itself.
  void SetTransport(Transport transport) { transport_ = std::move(transport); }

  // As Dispatcher::Place(); may wait some milliseconds for the coordinator.
  boost::asio::awaitable<PlacementResult> Place(const RequestProfile& profile,
                                                const std::vector<BackendKey>& tried);

  void Output(PlacementTicket ticket, TimePoint now);
  void Finish(PlacementTicket ticket, AttemptOutcome outcome, TimePoint now);

  void OnQuestion(const std::string& host, const PlacementQuestion& question, TimePoint now);
  void OnAnswer(const std::string& host, const PlacementAnswer& answer);
  void OnProgress(const std::string& host, const ProgressReport& report, TimePoint now);

  // `host` tells its questions whose requests have not ended.
  void OnLiveQuestions(const std::string& host, const std::vector<PlacementQueryId>& live,
                       TimePoint now);

  // This node's questions to `host` whose requests have not ended.
  std::vector<PlacementQueryId> LiveQuestions(const std::string& host) const;

  // This node grants requests to cold back ends of `service`.
  bool GrantsToCold(const std::string& service, TimePoint now) const {
    return RightOf(service, now).to_cold;
  }

  // To be called about twice a second.
  void Tick(TimePoint now);

  // Requests of other nodes that this one follows.
  size_t Followed() const { return grants_.Size(); }

 private:
  // A question under way.
  struct Waiting {
    std::string host;
    Timer timer;  // cancelled by the answer
    std::optional<PlacementAnswer> answer;
  };

  // A request that a coordinator placed.
  struct Question {
    std::string host;
    PlacementQueryId id = 0;
    bool told_output = false;
  };

  struct Suspicion {
    TimePoint until;
    int failures = 0;
  };

  // The right to grant requests to cold back ends, which only services with a warm-up need.
  GrantAuthority RightOf(const std::string& service, TimePoint now) const;
  void CountMetered(const Placement& placement) const;
  PlacementResult PlaceHere(const RequestProfile& profile, const std::vector<BackendKey>& tried);
  boost::asio::awaitable<PlacementResult> PlaceByCoordinator(const RequestProfile& profile,
                                                             const std::vector<BackendKey>& tried);
  PlacementQuestion MakeQuestion(const RequestProfile& profile,
                                 const std::vector<BackendKey>& tried);
  std::optional<Placement> TakeAnswer(const std::string& host, const PlacementQuestion& question,
                                      const PlacementAnswer& answer, TimePoint asked);
  boost::asio::awaitable<std::optional<PlacementAnswer>> Ask(const std::string& host,
                                                             PlacementQuestion question);
  boost::asio::awaitable<bool> WaitForAnswer(Waiting& waiting, Duration patience);
  bool IsSuspected(const std::string& host, TimePoint now) const;
  void Suspect(const std::string& host, TimePoint now);
  void NoteCoordinator(const std::string& service, const std::string& host);
  void Tell(const std::string& host, const RequestProgress& progress);
  void FlushProgress();

  boost::asio::io_context& io_;
  Dispatcher& dispatcher_;
  PeerTable& peers_;
  const UpstreamPool& pool_;
  Transport transport_;
  GrantBook grants_;
  std::map<PlacementQueryId, Waiting*> waiting_;
  std::unordered_map<PlacementTicket, Question> questions_;
  std::map<std::string, Suspicion> suspicions_;      // by host
  std::map<std::string, std::string> coordinators_;  // host by service, as last used
  std::map<std::string, ProgressReport> progress_;   // not sent yet, by host
  Timer progress_timer_;
  ColdBackendLog cold_backend_log_;
  PlacementQueryId next_question_;
};

}  // namespace cartsail
