// Which version of its engines' software a begun stream belongs to, so that it goes on there and
// nowhere else, whichever node goes on with it. One thread.
//
// A node begins streams at a version once that version is in the service's ledger in the store.
// Who takes a stream up and knows no record of it therefore reads the ledger: where it has one
// version, the stream is of that. Where it has several, or this node has not heard the store
// lately, the node that begins a stream tells two others, the keepers of the service, before the
// first event goes out, and the first keeper writes what it is told into the store, some times a
// second. What nobody knows is not guessed.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cartsail/base/timer.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/relay/routing_state.h"
#include "cartsail/streams/stream_records.h"
#include "cartsail/streams/version_history.h"
#include "cartsail/streams/version_ledger.h"
#include "fleet/datagram.h"
#include "fleet/peer_table.h"
#include "streams/engine_process_verifier.h"
#include "streams/stream_store.h"

namespace cartsail {

// What is known of a stream that a caller takes up.
struct StreamLookup {
  VersionSource source = VersionSource::kNone;
  std::string version;  // where there is a source
};

class StreamService {
 public:
  using Send = std::function<void(const std::string& host, const Datagram& datagram)>;

  // `fresh_for`: a node that heard the store, itself or by others, longer ago counts as out of
  // touch with it.
  StreamService(boost::asio::io_context& io, const PeerTable& peers,
                const BackendRegistry& registry, const RoutingState& routing, Duration fresh_for);

  // Without one this node asks and tells nobody.
  void SetTransport(Send send) { send_ = std::move(send); }

  // Without one streams may begin at every version, and only records tell that of a stream. It
  // outlives this.
  void SetStore(StreamStore* store) { store_ = store; }

  // Runs until the process ends.
  void Start();

  // Some engine of `service` tells its version: streams go on at their own.
  bool IsVersioned(const std::string& service);

  // Streams of `service` may begin at `version`. May wait some milliseconds for others or the
  // store.
  boost::asio::awaitable<bool> MayBegin(std::string service, std::string version);

  // To be awaited before a stream's first event is passed on.
  boost::asio::awaitable<void> Note(std::string service, StreamRecord record);

  // May wait for others or the store, until `deadline` at most.
  boost::asio::awaitable<StreamLookup> Find(std::string service, StreamKey stream,
                                            TimePoint deadline);

  // The process that wrote the stream's first event is of the version that was taken for it. May
  // wait for the store.
  boost::asio::awaitable<bool> IsVersionVerified(std::string service, StreamRecord stream);

  // A stream may go on over a connection to the back end that was made at `connected`: the process
  // there is of the version that is listed. May wait for the store.
  boost::asio::awaitable<bool> MayContinueAt(Backend backend, TimePoint connected);

  EngineProcessVerifier& ProcessVerifier() { return processes_; }

  void OnQuestion(const std::string& host, const StreamQuestion& question);
  void OnAnswer(const std::string& host, const StreamAnswer& answer);

  // Streams that this node keeps for others.
  size_t Kept() const { return kept_.Size(); }

 private:
  static constexpr size_t kKeepersTold = 2;  // of each stream
  static constexpr Duration kReadPoll = milliseconds(2);

  using ServiceVersion = std::pair<std::string, std::string>;

  // A question under way, to several nodes.
  struct Waiting {
    Timer timer;  // cancelled by the answer that ends the wait
    std::set<std::string> unanswered;
    std::optional<StreamAnswer> yes;
    bool some_answered = false;
  };

  // Reads the store for all that wait for the same service.
  struct Reader {
    bool is_running = false;
    int64_t begun = 0;
    int64_t ended = 0;
    std::optional<StoredStreams> last;  // of the reading that ended last; nothing: it failed
  };

  struct Registration {
    bool is_running = false;
    TimePoint not_before{};
  };

  boost::asio::awaitable<void> Run();
  void Tick(TimePoint now);
  bool IsFollowDue(TimePoint now) const;
  void FollowRegistry(TimePoint now);
  bool IsMixed(const std::string& service, TimePoint now);
  bool IsRecording(const std::string& service, TimePoint now);
  bool IsOutOfTouch(TimePoint now) const;
  bool HasEarlierBuilds() const;
  std::vector<std::string> Keepers(const std::string& service, TimePoint now) const;
  bool IsFirstKeeper(const std::string& service, TimePoint now) const;
  void Keep(const std::string& service, const StreamRecord& record, TimePoint now);
  void TellAll(const std::string& service, TimePoint now);
  void SaveDue(TimePoint now);
  boost::asio::awaitable<void> Save(std::string service);
  boost::asio::awaitable<void> Prune(std::string service);
  void AskAhead(TimePoint now);
  boost::asio::awaitable<void> AskAheadFor(std::string service, std::string version);
  boost::asio::awaitable<bool> AskWhetherMayBegin(std::string service, std::string version);

  bool IsPermitted(const ServiceVersion& version, TimePoint now) const;
  void Permit(const ServiceVersion& version, uint32_t ledger_size, TimePoint until);
  boost::asio::awaitable<bool> RegisterHere(std::string service, std::string version,
                                            TimePoint deadline);
  boost::asio::awaitable<void> Register(std::string service, std::string version);
  boost::asio::awaitable<StreamAnswer> FindHere(std::string service, StreamKey stream,
                                                TimePoint deadline);
  boost::asio::awaitable<std::optional<StoredStreams>> ReadFresh(std::string service,
                                                                 TimePoint deadline);
  boost::asio::awaitable<void> ReadStore(std::string service);
  boost::asio::awaitable<void> AnswerFind(std::string host, StreamQuestion question);
  boost::asio::awaitable<void> AnswerMayBegin(std::string host, StreamQuestion question);

  // The first yes, or the answers' sum: nothing where nobody answered in time.
  boost::asio::awaitable<std::optional<StreamAnswer>> Ask(std::vector<std::string> hosts,
                                                          StreamQuestion question,
                                                          Duration patience);
  boost::asio::awaitable<void> Pause(Duration duration);

  boost::asio::io_context& io_;
  const PeerTable& peers_;
  const BackendRegistry& registry_;
  const RoutingState& routing_;
  Duration fresh_for_;
  Send send_;
  StreamStore* store_ = nullptr;
  EngineProcessVerifier processes_;
  TimePoint started_;
  StreamRecords own_;
  StreamRecords kept_;
  VersionHistory history_;
  int64_t registry_changes_ = -1;
  TimePoint followed_{};
  std::map<ServiceVersion, TimePoint> permitted_;  // until when
  std::map<ServiceVersion, Registration> registrations_;
  std::map<std::string, uint32_t> ledger_sizes_;  // by service, as last heard
  std::map<std::string, Reader> readers_;
  std::map<std::string, std::vector<StreamRecord>> unsaved_;  // by service, while this node saves
  std::set<std::string> saving_;                              // services whose records it saves
  std::set<std::string> saves_under_way_;
  std::map<std::string, std::vector<std::string>> told_;  // keepers that know all, by service
  TimePoint next_save_{};
  TimePoint next_prune_{};
  std::map<uint32_t, Waiting*> waiting_;  // by question
  uint32_t next_question_;
};

}  // namespace cartsail
