#include "cartsail/peer/peer_network.h"

#include <capnp/rpc-twoparty.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <set>
#include <unordered_map>
#include <utility>

#include "asio_kj.h"
#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "wire.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kReconnectPause = milliseconds(200);
constexpr Duration kConnectTimeout = seconds(1);
// Calls that carry a whole tree or machine list may take longer than others.
constexpr int kBulkFactor = 5;

RejectReason DecodeReason(uint8_t reason) {
  return reason <= static_cast<uint8_t>(RejectReason::kNotOwner) ? static_cast<RejectReason>(reason)
                                                                 : RejectReason::kOverloaded;
}

// A value that arrives later, as a kj promise and a std::function.
template <typename T>
struct Pending {
  Pending() {
    auto paf = kj::newPromiseAndFulfiller<T>();
    promise = kj::mv(paf.promise);
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(kj::mv(paf.fulfiller));
    fulfill = [fulfiller](T value) { (*fulfiller)->fulfill(kj::mv(value)); };
  }
  kj::Promise<T> promise = nullptr;
  std::function<void(T)> fulfill;
};

// Serves one node's side of the schema by passing calls to the handler.
class PeerServer final : public wire::Peer::Server {
 public:
  explicit PeerServer(PeerHandler& handler) : handler_(handler) {}

  kj::Promise<void> acquire(AcquireContext context) override {
    const auto params = context.getParams();
    AcquireRequest request{params.getEngine().cStr(), Decode(params.getItem())};
    context.releaseParams();
    Pending<AcquireReply> pending;
    handler_.OnAcquire(std::move(request), std::move(pending.fulfill));
    return pending.promise.then([context](AcquireReply reply) mutable {
      auto results = context.getResults();
      results.setGranted(reply.granted);
      results.setReason(static_cast<uint8_t>(reply.reason));
      results.setRetryAfterUs(ToMicros(reply.retry_after));
      Encode(reply.digest, results.initDigest());
    });
  }

  kj::Promise<void> cancel(CancelContext context) override {
    const auto params = context.getParams();
    handler_.OnCancel(params.getEngine().cStr(), params.getId());
    return kj::READY_NOW;
  }

  kj::Promise<void> release(ReleaseContext context) override {
    const auto params = context.getParams();
    const QueueDigest digest =
        handler_.OnRelease(params.getEngine().cStr(), params.getId(), Decode(params.getReport()));
    Encode(digest, context.getResults().initDigest());
    return kj::READY_NOW;
  }

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    handler_.OnHeartbeat(Decode(context.getParams().getHeartbeat()));
    return kj::READY_NOW;
  }

  kj::Promise<void> fetchConfig(FetchConfigContext context) override {
    Encode(handler_.OnFetchConfig(context.getParams().getSince()),
           context.getResults().initDelta());
    return kj::READY_NOW;
  }

  kj::Promise<void> claim(ClaimContext context) override {
    Pending<ClaimResult> pending;
    handler_.OnClaim(Decode(context.getParams().getClaim()), std::move(pending.fulfill));
    return pending.promise.then([context](ClaimResult result) mutable {
      Encode(result, context.getResults().initResult());
    });
  }

  kj::Promise<void> preempt(PreemptContext context) override {
    const auto params = context.getParams();
    handler_.OnPreempt(params.getEngine().cStr(), params.getId());
    return kj::READY_NOW;
  }

  kj::Promise<void> announce(AnnounceContext context) override {
    const auto params = context.getParams();
    handler_.OnAnnounce(params.getEngine().cStr(), params.getNode().cStr(),
                        Decode(params.getRunning()));
    return kj::READY_NOW;
  }

  kj::Promise<void> fetchMachines(FetchMachinesContext context) override {
    const MachineListText list = handler_.OnFetchMachines();
    context.getResults().setVersion(list.version);
    context.getResults().setMachines(list.machines);
    return kj::READY_NOW;
  }

 private:
  PeerHandler& handler_;
};

// A connection to one node; made on the first call, made anew after it broke.
class PeerLink {
 public:
  PeerLink(asio::io_context& context, std::string address)
      : context_(context), address_(std::move(address)) {}

  // A client for calls. The same one for the connection's life: a second bootstrap on a connection
  // that has broken would start a connection state on a stream that is shut down, which throws.
  wire::Peer::Client Client() {
    if (peer_ == nullptr) Connect();
    return KJ_ASSERT_NONNULL(peer_);
  }

  bool Usable() const { return peer_ != nullptr || Now() >= next_connect_; }

  void Drop() {
    peer_ = nullptr;
    client_ = nullptr;
    next_connect_ = Now() + kReconnectPause;
  }

 private:
  // The stream is a promise of a connection; calls made meanwhile wait for it.
  void Connect() {
    auto paf = kj::newPromiseAndFulfiller<kj::Own<kj::AsyncIoStream>>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<kj::Own<kj::AsyncIoStream>>>>(
        kj::mv(paf.fulfiller));
    auto socket = std::make_shared<tcp::socket>(context_);
    auto timer = std::make_shared<Timer>(context_);
    timer->expires_after(kConnectTimeout);
    timer->async_wait([socket](const boost::system::error_code& error) {
      boost::system::error_code ignored;
      if (!error) socket->close(ignored);
    });
    socket->async_connect(
        ParseAddress(), [socket, timer, fulfiller](const boost::system::error_code& error) {
          timer->cancel();
          if (error) {
            (*fulfiller)
                ->reject(kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                                       kj::heapString(error.message().c_str())));
            return;
          }
          boost::system::error_code ignored;
          socket->set_option(tcp::no_delay(true), ignored);
          (*fulfiller)->fulfill(WrapSocket(std::move(*socket)));
        });
    stream_ = kj::newPromisedStream(kj::mv(paf.promise));
    client_ = kj::heap<capnp::TwoPartyClient>(*stream_);
    peer_ = client_->bootstrap().castAs<wire::Peer>();
  }

  tcp::endpoint ParseAddress() const {
    const size_t colon = address_.rfind(':');
    boost::system::error_code error;
    const auto host = asio::ip::make_address(address_.substr(0, colon), error);
    const int port = std::atoi(address_.c_str() + colon + 1);
    return {host, static_cast<uint16_t>(port)};
  }

  asio::io_context& context_;
  std::string address_;
  kj::Own<kj::AsyncIoStream> stream_;
  kj::Own<capnp::TwoPartyClient> client_;  // uses stream_
  kj::Maybe<wire::Peer::Client> peer_;     // uses client_
  TimePoint next_connect_{};
};

class PeerNetworkImpl final : public PeerNetwork, private kj::TaskSet::ErrorHandler {
 public:
  PeerNetworkImpl(asio::io_context& context, PeerNetworkOptions options, PeerHandler& handler)
      : context_(context),
        options_(std::move(options)),
        handler_(handler),
        port_(context),
        wait_scope_(port_.Loop()),
        acceptor_(context),
        server_(kj::heap<PeerServer>(handler)),
        tasks_(*this) {}

  ~PeerNetworkImpl() noexcept override {}

  absl::Status Start() override {
    boost::system::error_code error;
    const auto host = asio::ip::make_address(options_.listen_host, error);
    const tcp::endpoint endpoint(host, options_.listen_port);
    if (!error) acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor_.bind(endpoint, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return MakeError(ErrorKind::kInvalidArgument, "cannot listen for peers: " + error.message());
    }
    AcceptNext();
    return absl::OkStatus();
  }

  void Acquire(const std::string& address, const AcquireRequest& request,
               PeerCallback<AcquireReply> done) override {
    Call<AcquireReply>(
        address, Duration(0), std::move(done),
        [&request](wire::Peer::Client client) {
          auto call = client.acquireRequest();
          call.setEngine(request.engine);
          Encode(request.item, call.initItem());
          return call.send();
        },
        [](auto&& results) {
          return AcquireReply{results.getGranted(), DecodeReason(results.getReason()),
                              FromMicros(results.getRetryAfterUs()), Decode(results.getDigest())};
        });
  }

  void Cancel(const std::string& address, const std::string& engine, RequestId id) override {
    Tell(address, [&](wire::Peer::Client client) {
      auto call = client.cancelRequest();
      call.setEngine(engine);
      call.setId(id);
      return call.send();
    });
  }

  void Release(const std::string& address, const std::string& engine, RequestId id,
               const ServiceReport& report, PeerCallback<QueueDigest> done) override {
    Call<QueueDigest>(
        address, options_.call_timeout, std::move(done),
        [&](wire::Peer::Client client) {
          auto call = client.releaseRequest();
          call.setEngine(engine);
          call.setId(id);
          Encode(report, call.initReport());
          return call.send();
        },
        [](auto&& results) { return Decode(results.getDigest()); });
  }

  void SendHeartbeat(const std::string& address, const Heartbeat& heartbeat) override {
    if (!heartbeats_pending_.insert(address).second) return;
    Call<bool>(
        address, options_.call_timeout,
        [this, address](const absl::StatusOr<bool>& /*result*/) {
          heartbeats_pending_.erase(address);
        },
        [&heartbeat](wire::Peer::Client client) {
          auto call = client.heartbeatRequest();
          Encode(heartbeat, call.initHeartbeat());
          return call.send();
        },
        [](auto&& /*results*/) { return true; });
  }

  void FetchConfig(const std::string& address, int64_t since,
                   PeerCallback<ConfigDelta> done) override {
    Call<ConfigDelta>(
        address, options_.call_timeout * kBulkFactor, std::move(done),
        [since](wire::Peer::Client client) {
          auto call = client.fetchConfigRequest();
          call.setSince(since);
          return call.send();
        },
        [](auto&& results) { return Decode(results.getDelta()); });
  }

  void Claim(const std::string& address, const ClaimCall& claim,
             PeerCallback<ClaimResult> done) override {
    Call<ClaimResult>(
        address, claim.timeout + options_.call_timeout, std::move(done),
        [&claim](wire::Peer::Client client) {
          auto call = client.claimRequest();
          Encode(claim, call.initClaim());
          return call.send();
        },
        [](auto&& results) { return Decode(results.getResult()); });
  }

  void Preempt(const std::string& address, const std::string& engine, RequestId id) override {
    Tell(address, [&](wire::Peer::Client client) {
      auto call = client.preemptRequest();
      call.setEngine(engine);
      call.setId(id);
      return call.send();
    });
  }

  void Announce(const std::string& address, const std::string& engine, const std::string& node,
                const std::vector<WorkItem>& running) override {
    Tell(address, [&](wire::Peer::Client client) {
      auto call = client.announceRequest();
      call.setEngine(engine);
      call.setNode(node);
      Encode(running, call.initRunning(static_cast<unsigned>(running.size())));
      return call.send();
    });
  }

  void FetchMachines(const std::string& address, PeerCallback<MachineListText> done) override {
    Call<MachineListText>(
        address, options_.call_timeout * kBulkFactor, std::move(done),
        [](wire::Peer::Client client) { return client.fetchMachinesRequest().send(); },
        [](auto&& results) {
          return MachineListText{results.getVersion(), results.getMachines().cStr()};
        });
  }

  void DropNode(const std::string& address) override {
    const auto found = links_.find(address);
    if (found != links_.end()) found->second->Drop();
  }

 private:
  PeerLink* UsableLink(const std::string& address) {
    auto& link = links_[address];
    if (link == nullptr) link = std::make_unique<PeerLink>(context_, address);
    return link->Usable() ? link.get() : nullptr;
  }

  // Makes a call with `send` and passes its decoded results to `done`, once: also after `timeout`
  // (0: none) or when the link is down. Never calls back from inside: callers may hold references
  // into their own state.
  template <typename T, typename SendFunction, typename DecodeFunction>
  void Call(const std::string& address, Duration timeout, PeerCallback<T> done, SendFunction send,
            DecodeFunction decode) {
    auto shared = std::make_shared<PeerCallback<T>>(std::move(done));
    auto finish = [shared](absl::StatusOr<T> result) {
      if (!*shared) return;
      const PeerCallback<T> callback = std::exchange(*shared, nullptr);
      callback(std::move(result));
    };
    PeerLink* link = UsableLink(address);
    if (link == nullptr) {
      FailLater(finish, "the node cannot be reached");
      return;
    }
    GlobalCounters().peer_messages_sent_total.Add();
    // A connection that has just been shut down throws at once instead of failing the promise.
    try {
      Track(address, send(link->Client()), timeout, finish, decode);
    } catch (const kj::Exception& exception) {
      DropLater(address);
      FailLater(finish, exception.getDescription().cStr());
    }
  }

  template <typename Promise, typename Finish, typename DecodeFunction>
  void Track(const std::string& address, Promise promise, Duration timeout, Finish finish,
             DecodeFunction decode) {
    std::shared_ptr<Timer> timer;
    if (timeout > Duration(0)) {
      timer = std::make_shared<Timer>(context_);
      timer->expires_after(timeout);
      timer->async_wait([finish](const boost::system::error_code& error) {
        if (!error) finish(MakeError(ErrorKind::kPeerUnavailable, "the node does not answer"));
      });
    }
    tasks_.add(promise.then(
        [finish, timer, decode](auto&& results) {
          if (timer != nullptr) timer->cancel();
          finish(decode(results));
        },
        [this, finish, timer, address](kj::Exception&& exception) {
          if (timer != nullptr) timer->cancel();
          if (exception.getType() == kj::Exception::Type::DISCONNECTED) DropLater(address);
          finish(MakeError(ErrorKind::kPeerUnavailable, exception.getDescription().cStr()));
        }));
  }

  template <typename SendFunction>
  void Tell(const std::string& address, SendFunction send) {
    Call<bool>(
        address, Duration(0), [](const absl::StatusOr<bool>& /*result*/) {}, send,
        [](auto&& /*results*/) { return true; });
  }

  template <typename Finish>
  void FailLater(Finish finish, std::string reason) {
    asio::post(context_, [finish, reason = std::move(reason)] {
      finish(MakeError(ErrorKind::kPeerUnavailable, reason));
    });
  }

  // A link may not be destroyed from inside one of its own promises.
  void DropLater(const std::string& address) {
    asio::post(context_, [this, address] { DropNode(address); });
  }

  void AcceptNext() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) return;
      if (!error) {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        server_.accept(WrapSocket(std::move(socket)));
      }
      AcceptNext();
    });
  }

  void taskFailed(kj::Exception&& exception) override {
    Log(LogLevel::kWarning, "peer_call_failed", {{"reason", exception.getDescription().cStr()}});
  }

  asio::io_context& context_;
  PeerNetworkOptions options_;
  PeerHandler& handler_;
  AsioEventPort port_;
  kj::WaitScope wait_scope_;
  tcp::acceptor acceptor_;
  capnp::TwoPartyServer server_;
  std::unordered_map<std::string, std::unique_ptr<PeerLink>> links_;
  std::set<std::string> heartbeats_pending_;  // addresses with one unanswered
  kj::TaskSet tasks_;
};

}  // namespace

std::unique_ptr<PeerNetwork> MakePeerNetwork(asio::io_context& context, PeerNetworkOptions options,
                                             PeerHandler& handler) {
  return std::make_unique<PeerNetworkImpl>(context, std::move(options), handler);
}

}  // namespace cartsail
