#include "upstream/bridge_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <optional>
#include <string>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "upstream/bridge_message.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kBacklog = 256;
constexpr Duration kAcceptPause = milliseconds(50);  // after an error, such as no free descriptors
constexpr Duration kOrderTimeout = seconds(2);
// Data received from the back end within this time proves that the path works.
constexpr Duration kReceivedProofValidity = seconds(1);
constexpr Duration kMaxConnectTime = seconds(1);
// The requesting node keeps an idle bridge for some seconds, like a direct connection.
constexpr Duration kMaxIdleTime = seconds(15);
// Added to the time that the caller waits, as the response may still be being read.
constexpr Duration kAnswerMargin = seconds(1);
// Buffer size per direction.
constexpr size_t kBufferBytes = 16 << 10;
// Memory per bridge: the buffers of both directions and the state of both connections.
constexpr int64_t kBridgeBytes = 64 << 10;

// True if this node ended the connection to the back end, by closing it or by a timeout. This is no
// evidence about the back end.
bool IsOwnEnd(const boost::system::error_code& error) {
  return error == asio::error::operation_aborted || error == asio::error::bad_descriptor ||
         error == boost::beast::error::timeout;
}

}  // namespace

// One bridge, from the order to the end of either connection.
class Bridge : public std::enable_shared_from_this<Bridge> {
 public:
  Bridge(BridgeServer& server, tcp::socket socket)
      : server_(server), peer_(std::move(socket)), host_(RemoteHost()) {}

  asio::awaitable<void> Run() {
    const std::optional<BridgeOrder> order = co_await ReadOrder();
    if (!order.has_value()) co_return Close();
    const BridgeResult result = co_await Connect(*order);
    const auto answer = static_cast<uint8_t>(result);
    if (!co_await Send(asio::buffer(&answer, 1)) || result != BridgeResult::kConnected) {
      co_return Close();
    }
    asio::co_spawn(server_.io_, ForwardAnswers(shared_from_this()), asio::detached);
    while (co_await ForwardRequest()) {
    }
    end_reported_ ? Close() : Abort();
  }

  void Close() {
    boost::system::error_code ignored;
    peer_.socket().close(ignored);
    if (upstream_ == nullptr) return;
    EndWaiting();
    upstream_->Close();
  }

  bool IsInUse() const { return is_waiting_; }

 private:
  // Resets the connection when no frame reported the end of the response: nodes of older builds
  // take an orderly close for the end of the response.
  void Abort() {
    boost::system::error_code ignored;
    peer_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  std::string RemoteHost() {
    boost::system::error_code error;
    const tcp::endpoint remote = peer_.socket().remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
  }

  // Reads a length-prefixed message; std::nullopt on errors, time-outs and excess length.
  asio::awaitable<std::optional<std::string>> ReadMessage(Duration patience) {
    std::array<char, kBridgeLengthBytes> length_bytes{};
    peer_.expires_after(patience);
    boost::system::error_code error;
    co_await asio::async_read(peer_, asio::buffer(length_bytes),
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return std::nullopt;
    const std::optional<size_t> length = BridgeMessageLength(length_bytes);
    if (!length.has_value()) co_return std::nullopt;
    std::string message(*length, '\0');
    co_await asio::async_read(peer_, asio::buffer(message),
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return std::nullopt;
    co_return message;
  }

  asio::awaitable<std::optional<BridgeOrder>> ReadOrder() {
    const std::optional<std::string> message = co_await ReadMessage(kOrderTimeout);
    if (!message.has_value()) co_return std::nullopt;
    co_return DecodeBridgeOrder(*message);
  }

  asio::awaitable<BridgeResult> Connect(const BridgeOrder& order) {
    if (server_.draining_ || server_.bridges_.size() > server_.most_bridges_) {
      co_return BridgeResult::kBusy;
    }
    const Backend* known = server_.dispatcher_.Registry().FindByKey(order.backend);
    if (known == nullptr || !server_.dispatcher_.Registry().MayContact(order.backend, Now())) {
      co_return BridgeResult::kUnknown;
    }
    if (server_.paths_.IsCut(order.backend)) co_return BridgeResult::kNoPath;
    backend_ = *known;
    use_ = server_.paths_.UseOf(order.backend);
    const auto is_own = [](const UpstreamConnection& connection) {
      return connection.Over().empty();
    };
    if (!order.fresh) upstream_ = server_.pool_.TakeIdle(order.backend, Now(), is_own);
    if (upstream_ != nullptr) co_return BridgeResult::kConnected;
    upstream_ = server_.pool_.MakeNew();
    GlobalCounters().backend_connects_total.Add();
    const Duration patience = std::min<Duration>(order.patience, kMaxConnectTime);
    const ConnectResult result = co_await upstream_->Connect(backend_.address, Now() + patience);
    bool stands = result == ConnectResult::kConnected;
    // A faulty path may accept connections and then reset them.
    const bool is_sure = !order.fresh && Now() - use_->Heard() < kReceivedProofValidity;
    if (stands && !is_sure) stands = co_await server_.paths_.Stands(*upstream_);
    if (stands) co_return BridgeResult::kConnected;
    server_.paths_.NoteFailed(order.backend);
    // This node's path may be cut as well; later orders should then be answered immediately.
    server_.paths_.ExamineSoon(order.backend);
    const bool is_silent = result == ConnectResult::kFailed;
    co_return is_silent ? BridgeResult::kFailed : BridgeResult::kRefused;
  }

  template <typename Buffers>
  asio::awaitable<bool> Send(const Buffers& buffers) {
    boost::system::error_code error;
    co_await asio::async_write(peer_, buffers, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
  }

  asio::awaitable<bool> SendFrame(FrameKind kind, std::string_view bytes = {}) {
    const auto head = EncodeFrameHead({kind, static_cast<uint32_t>(bytes.size())});
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head), asio::buffer(bytes)};
    end_reported_ = kind != FrameKind::kData;
    co_return co_await Send(buffers);
  }

  // The requesting node chose the back end from its own state; this node may have learned since
  // that the back end may not receive requests.
  bool MaySend() const {
    const Dispatcher& dispatcher = server_.dispatcher_;
    const Backend* known = dispatcher.Registry().FindByKey(backend_.key);
    return !server_.draining_ && known != nullptr &&
           dispatcher.Registry().MayReceive(*known, RegionSet(), Now());
  }

  asio::awaitable<bool> ForwardRequest() {
    const std::optional<std::string> message =
        co_await ReadMessage(is_waiting_ ? left_ + kAnswerMargin : kMaxIdleTime);
    if (!message.has_value()) co_return false;
    const std::optional<BridgedRequest> request = DecodeBridgedRequest(*message);
    if (!request.has_value()) co_return false;
    EndWaiting();
    if (request->bytes == 0) co_return true;
    left_ = request->left;
    if (server_.before_request_) co_await server_.before_request_();
    const bool may_send = MaySend();
    LogRequest(*request, may_send);
    if (!may_send) {
      (void)co_await SendFrame(FrameKind::kWithheld);
      co_return false;
    }
    GlobalCounters().bridged_requests_total.Add();
    BeginWaiting();
    co_return co_await ForwardBytes(request->bytes);
  }

  void BeginWaiting() {
    is_waiting_ = true;
    use_->Begin(Now());
    upstream_->Transport().expires_after(left_ + kAnswerMargin);
  }

  void EndWaiting() {
    if (!std::exchange(is_waiting_, false)) return;
    use_->End(Now());
    upstream_->Transport().expires_never();
  }

  void LogRequest(const BridgedRequest& request, bool may_send) const {
    Log(LogLevel::kInfo, "bridged",
        {{"request", request.id},
         {"backend", backend_.id},
         {"from", host_},
         {"bytes", std::to_string(request.bytes)},
         {"left_ms", fmt::format("{:.0f}", ToMillis(request.left))},
         {"sent", may_send ? "true" : "false"}});
  }

  // A back end may respond and close before it has read the whole request: its response is still
  // forwarded, and the rest of the request is read and discarded.
  asio::awaitable<bool> ForwardBytes(uint64_t left) {
    is_request_taken_ = false;
    std::string buffer(std::min<uint64_t>(left, kBufferBytes), '\0');
    bool takes_more = true;
    while (left > 0) {
      boost::system::error_code error;
      const size_t most = std::min<uint64_t>(left, buffer.size());
      const size_t read = co_await peer_.async_read_some(
          asio::buffer(buffer.data(), most), asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return false;
      left -= read;
      if (!takes_more) continue;
      co_await asio::async_write(upstream_->Transport(), asio::buffer(buffer.data(), read),
                                 asio::redirect_error(asio::use_awaitable, error));
      takes_more = !error;
    }
    is_request_taken_ = takes_more;
    co_return true;
  }

  // Reads more only after the requesting node has accepted the previous bytes, which bounds memory
  // while the caller stalls.
  static asio::awaitable<void> ForwardAnswers(std::shared_ptr<Bridge> self) {
    std::string buffer(kBufferBytes, '\0');
    while (true) {
      boost::system::error_code error;
      const size_t read = co_await self->upstream_->Transport().async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      if (IsOwnEnd(error)) co_return self->Abort();
      if (error) {
        // As ReadingEnd::kInsideRequest on a direct connection.
        const bool is_end = error == asio::error::eof && self->is_request_taken_;
        (void)co_await self->SendFrame(is_end ? FrameKind::kEnd : FrameKind::kBroken);
        co_return self->Close();
      }
      self->use_->NoteHeard(!std::exchange(self->was_heard_, true), Now());
      const std::string_view bytes = std::string_view(buffer).substr(0, read);
      if (!co_await self->SendFrame(FrameKind::kData, bytes)) co_return self->Close();
    }
  }

  BridgeServer& server_;
  TimedStream peer_;
  std::string host_;
  Backend backend_;
  std::shared_ptr<UpstreamConnection> upstream_;
  Duration left_{};  // remaining time of the current request's caller
  std::shared_ptr<PathUse> use_;
  bool is_waiting_ = false;  // a request was forwarded and its response is pending
  bool was_heard_ = false;
  bool is_request_taken_ = true;  // the back end took all bytes of the last request
  bool end_reported_ = false;     // the last frame sent ended the response
};

BridgeServer::BridgeServer(asio::io_context& io, BridgeServerOptions options,
                           const Dispatcher& dispatcher, PathService& paths, UpstreamPool& pool)
    : io_(io),
      options_(std::move(options)),
      dispatcher_(dispatcher),
      paths_(paths),
      pool_(pool),
      acceptor_(io),
      most_bridges_(
          static_cast<size_t>(std::max<int64_t>(options_.memory_bytes / kBridgeBytes, 1))) {}

BridgeServer::~BridgeServer() = default;

absl::Status BridgeServer::Start() {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(options_.listen.host, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidArgument,
                     fmt::format("bridge: {} is not an IP address", options_.listen.host));
  }
  const tcp::endpoint endpoint(ip, options_.listen.port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (error) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        fmt::format("cannot listen on {}: {}", options_.listen.ToString(), error.message()));
  }
  asio::co_spawn(io_, Accept(), asio::detached);
  return absl::OkStatus();
}

size_t BridgeServer::InUse() const {
  return static_cast<size_t>(std::count_if(bridges_.begin(), bridges_.end(),
                                           [](const auto& bridge) { return bridge->IsInUse(); }));
}

asio::awaitable<void> BridgeServer::Accept() {
  while (true) {
    boost::system::error_code error;
    tcp::socket socket(io_);
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      Timer pause(io_, kAcceptPause);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    const auto bridge = std::make_shared<Bridge>(*this, std::move(socket));
    bridges_.insert(bridge);
    const auto run = [](BridgeServer* server,
                        std::shared_ptr<Bridge> opened) -> asio::awaitable<void> {
      co_await opened->Run();
      server->bridges_.erase(opened);
    };
    asio::co_spawn(io_, run(this, bridge), asio::detached);
  }
}

}  // namespace cartsail
