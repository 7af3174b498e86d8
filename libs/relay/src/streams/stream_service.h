// Tracks at which version of the engine software each stream was started, so that it is resumed
// only on engines of that version, whichever node resumes it. Not thread-safe.
//
// A node starts streams at a version only once that version is in the service's ledger in the
// store. A node that resumes a stream without a record of it therefore reads the ledger: if the
// ledger has a single version, the stream has that one. If it has several, or the node that starts
// a stream has not heard from the store lately, that node sends the stream's record to two nodes,
// the keepers of the service, before the first event goes out. The first keeper writes the records
// it receives to the store several times a second. A version that no node knows is not guessed.
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

// What is known about a stream that a caller resumes.
struct StreamLookup {
  VersionSource source = VersionSource::kNone;
  std::string version;  // empty without a source
};

class StreamService {
 public:
  using Send = std::function<void(const std::string& host, const Datagram& datagram)>;

  // `fresh_for`: a node that has heard from the store, directly or through other nodes, longer ago
  // than this counts as out of touch with it.
  StreamService(boost::asio::io_context& io, const PeerTable& peers,
                const BackendRegistry& registry, const RoutingState& routing, Duration fresh_for);

  // Without a transport this node neither asks nor answers other nodes.
  void SetTransport(Send send) { send_ = std::move(send); }

  // Without a store streams may start at every version, and a stream's version is known only from
  // records. `store` must outlive this object.
  void SetStore(StreamStore* store) { store_ = store; }

  // Starts the periodic work, which runs until the process ends.
  void Start();

  // True when an engine of `service` has stated its version lately: streams are then resumed only
  // at their own version.
  bool IsVersioned(const std::string& service);

  // True when streams of `service` may start at `version`. May wait up to 360 ms for other nodes
  // and the store.
  boost::asio::awaitable<bool> MayBegin(std::string service, std::string version);

  // Records a started stream, here and at its keepers. To be awaited before the stream's first
  // event is passed on.
  boost::asio::awaitable<void> Note(std::string service, StreamRecord record);

  // Looks up the version of a stream. May wait for other nodes or the store until `deadline`, then
  // for the engine's entry (see EngineProcessVerifier).
  boost::asio::awaitable<StreamLookup> Find(std::string service, StreamKey stream,
                                            TimePoint deadline);

  // True when the process that wrote the stream's first event has the recorded version. May wait
  // for the store.
  boost::asio::awaitable<bool> IsVersionVerified(std::string service, StreamRecord stream);

  // True when a stream may continue over a connection to `backend` that was made at `connected`:
  // the process there has the listed version. May wait for the store.
  boost::asio::awaitable<bool> MayContinueAt(Backend backend, TimePoint connected);

  EngineProcessVerifier& ProcessVerifier() { return process_verifier_; }

  void OnQuestion(const std::string& host, const StreamQuestion& question);
  void OnAnswer(const std::string& host, const StreamAnswer& answer);

  // Number of stream records that this node keeps as a keeper.
  size_t Kept() const { return kept_records_.Size(); }

 private:
  static constexpr size_t kReplicas = 2;  // keepers that receive each stream's record
  static constexpr Duration kReadPollInterval = milliseconds(2);

  using ServiceVersion = std::pair<std::string, std::string>;

  // A question to several nodes that awaits answers.
  struct PendingQuestion {
    Timer timer;  // cancelled by the answer that ends the wait
    std::set<std::string> unanswered;
    std::optional<StreamAnswer> yes;
    bool some_answered = false;
  };

  // Shares each read of the store among all callers that wait for the same service.
  struct StoreReader {
    bool is_running = false;
    int64_t begun = 0;                  // number of the read that started last
    int64_t ended = 0;                  // number of the read that finished last
    std::optional<StoredStreams> last;  // result of the read that finished last; nullopt: it failed
  };

  struct Registration {
    bool is_running = false;
    TimePoint not_before{};  // of the next request for the permission
  };

  boost::asio::awaitable<void> Run();
  void Tick(TimePoint now);
  bool IsScanDue(TimePoint now) const;
  void ScanRegistry(TimePoint now);
  void ScanRegistryNow(TimePoint now);
  bool IsMixed(const std::string& service, TimePoint now);
  bool IsRecording(const std::string& service, TimePoint now);
  bool IsOutOfTouch(TimePoint now) const;
  bool HasEarlierBuilds() const;
  std::vector<std::string> Keepers(const std::string& service, TimePoint now) const;
  bool IsFirstKeeper(const std::string& service, TimePoint now) const;
  void AcceptRecord(const std::string& service, const StreamRecord& record, TimePoint now);
  void SyncKeepers(const std::string& service, TimePoint now);
  void SaveDue(TimePoint now);
  boost::asio::awaitable<void> Save(std::string service);
  boost::asio::awaitable<void> Prune(std::string service);
  void PrefetchPermissions(TimePoint now);
  boost::asio::awaitable<void> PrefetchPermission(std::string service, std::string version);
  boost::asio::awaitable<bool> RequestPermission(std::string service, std::string version);

  bool IsPermitted(const ServiceVersion& version, TimePoint now) const;
  void Permit(const ServiceVersion& version, uint32_t ledger_size, TimePoint until);
  boost::asio::awaitable<bool> AwaitRegistration(std::string service, std::string version,
                                                 TimePoint deadline);
  boost::asio::awaitable<void> Register(std::string service, std::string version);
  boost::asio::awaitable<StreamAnswer> FindAsKeeper(std::string service, StreamKey stream,
                                                    TimePoint deadline);
  boost::asio::awaitable<std::optional<StoredStreams>> ReadFresh(std::string service,
                                                                 TimePoint deadline);
  boost::asio::awaitable<void> ReadStore(std::string service);
  boost::asio::awaitable<void> AnswerFind(std::string host, StreamQuestion question);
  boost::asio::awaitable<void> AnswerMayBegin(std::string host, StreamQuestion question);

  // Returns the first yes, or a default StreamAnswer when nodes have answered but none with yes;
  // nullopt when no node was asked or none answered within `timeout`.
  boost::asio::awaitable<std::optional<StreamAnswer>> Ask(std::vector<std::string> hosts,
                                                          StreamQuestion question,
                                                          Duration timeout);
  boost::asio::awaitable<void> Pause(Duration duration);

  boost::asio::io_context& io_;
  const PeerTable& peers_;
  const BackendRegistry& registry_;
  const RoutingState& routing_;
  Duration fresh_for_;
  Send send_;
  StreamStore* store_ = nullptr;
  EngineProcessVerifier process_verifier_;
  TimePoint started_;
  StreamRecords own_records_;
  StreamRecords kept_records_;
  VersionHistory history_;
  int64_t scanned_changes_ = -1;
  TimePoint scanned_{};
  std::map<ServiceVersion, TimePoint> permitted_;  // expiry times
  std::map<ServiceVersion, Registration> registrations_;
  std::map<std::string, uint32_t> ledger_sizes_;  // by service; 0: unknown
  std::map<std::string, StoreReader> readers_;
  std::map<std::string, std::vector<StreamRecord>> unsaved_;  // by service, of those in `saving_`
  std::set<std::string> saving_;  // services whose records this node saves
  std::set<std::string> saves_in_progress_;
  // By service: keepers to which all records of this node were sent.
  std::map<std::string, std::vector<std::string>> synced_keepers_;
  TimePoint next_save_{};
  TimePoint next_prune_{};
  std::map<uint32_t, PendingQuestion*> pending_questions_;  // by question id
  uint32_t next_question_;
};

}  // namespace cartsail
