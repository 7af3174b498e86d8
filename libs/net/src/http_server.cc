#include "cartsail/net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "cartsail/base/status.h"
#include "cartsail/net/timed_stream.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

absl::Status WriteError(const beast::error_code& error) {
  if (error == beast::error::timeout) return MakeError(ErrorKind::kTimeout, "peer takes no data");
  return MakeError(ErrorKind::kConnectionLost, error.message());
}

std::string_view View(beast::string_view text) { return {text.data(), text.size()}; }

template <typename Message>
void SetHeaders(Message& message, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    message.insert(beast::string_view(header.name.data(), header.name.size()),
                   beast::string_view(header.value.data(), header.value.size()));
  }
}

// State that outlives an exchange's coroutine, for the peer watch's completion handler.
struct PeerWatch {
  std::function<void()> on_closed;
  bool waiting = false;
};

class ExchangeImpl final : public HttpExchange {
 public:
  ExchangeImpl(TimedStream& stream, const HttpServerLimits& limits, HttpRequest request,
               bool keep_alive)
      : stream_(stream), limits_(limits), request_(std::move(request)), keep_alive_(keep_alive) {}

  ~ExchangeImpl() override { watch_->on_closed = nullptr; }

  const HttpRequest& Request() const override { return request_; }

  asio::awaitable<absl::Status> Respond(HttpResponse response) override {
    http::response<http::string_body> message{static_cast<http::status>(response.status), 11};
    SetHeaders(message, response.headers);
    message.keep_alive(keep_alive_);
    message.body() = std::move(response.body);
    message.prepare_payload();
    finished_ = true;
    beast::error_code error;
    stream_.expires_after(limits_.write_timeout);
    co_await http::async_write(stream_, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return Lost(error);
    co_return absl::OkStatus();
  }

  asio::awaitable<absl::Status> BeginStream(int status, HttpHeaders headers) override {
    http::response<http::empty_body> message{static_cast<http::status>(status), 11};
    SetHeaders(message, headers);
    message.keep_alive(keep_alive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer{message};
    beast::error_code error;
    stream_.expires_after(limits_.write_timeout);
    co_await http::async_write_header(stream_, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    // The next event may take longer than a write may.
    stream_.expires_never();
    if (error) co_return Lost(error);
    co_return absl::OkStatus();
  }

  asio::awaitable<absl::Status> Write(std::string_view chunk) override {
    if (chunk.empty()) co_return absl::OkStatus();
    beast::error_code error;
    stream_.expires_after(limits_.write_timeout);
    co_await asio::async_write(stream_, http::make_chunk(asio::buffer(chunk.data(), chunk.size())),
                               asio::redirect_error(asio::use_awaitable, error));
    stream_.expires_never();
    if (error) co_return Lost(error);
    co_return absl::OkStatus();
  }

  asio::awaitable<absl::Status> EndStream() override {
    finished_ = true;
    beast::error_code error;
    stream_.expires_after(limits_.write_timeout);
    co_await asio::async_write(stream_, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return Lost(error);
    co_return absl::OkStatus();
  }

  void Abort() override {
    lost_ = true;
    beast::error_code ignored;
    stream_.socket().close(ignored);
  }

  void WatchPeer(std::function<void()> on_closed) override {
    watch_->on_closed = std::move(on_closed);
    if (watch_->waiting || !watch_->on_closed) return;
    watch_->waiting = true;
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [watch = watch_, &socket = stream_.socket()](auto error) {
                                  watch->waiting = false;
                                  if (!watch->on_closed) return;
                                  if (!error && !PeerHasClosed(socket)) return;
                                  auto on_closed = std::move(watch->on_closed);
                                  watch->on_closed = nullptr;
                                  on_closed();
                                });
  }

  bool Finished() const { return finished_ && !lost_; }

 private:
  // True if the next read would report the end of the stream or a reset.
  static bool PeerHasClosed(tcp::socket& socket) {
    char byte;
    beast::error_code error;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return static_cast<bool>(error) && error != asio::error::would_block;
  }

  absl::Status Lost(const beast::error_code& error) {
    lost_ = true;
    return WriteError(error);
  }

  TimedStream& stream_;
  const HttpServerLimits& limits_;
  HttpRequest request_;
  bool keep_alive_;
  bool finished_ = false;
  bool lost_ = false;
  std::shared_ptr<PeerWatch> watch_ = std::make_shared<PeerWatch>();
};

HttpRequest ToRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = View(message.method_string());
  request.target = View(message.target());
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(View(field.name_string())), std::string(View(field.value()))});
  }
  request.body = std::move(message.body());
  return request;
}

absl::Status ParseError(const beast::error_code& error) {
  if (error == http::error::body_limit) {
    return MakeError(ErrorKind::kBodyTooLarge, "request body exceeds the limit");
  }
  if (error == http::error::header_limit) {
    return MakeError(ErrorKind::kHeadersTooLarge, "request headers exceed the limit");
  }
  return MakeError(ErrorKind::kMalformedRequest, "not an HTTP/1.1 request: " + error.message());
}

bool IsParseError(const beast::error_code& error) {
  return error.category() == http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

class ServerImpl final : public HttpServer, public std::enable_shared_from_this<ServerImpl> {
 public:
  ServerImpl(asio::io_context& context, Endpoint endpoint, HttpServerLimits limits,
             HttpHandler handler, HttpParseErrorHandler on_parse_error)
      : context_(context),
        endpoint_(std::move(endpoint)),
        limits_(limits),
        handler_(std::move(handler)),
        on_parse_error_(std::move(on_parse_error)),
        acceptor_(context) {}

  absl::Status Start() override {
    beast::error_code error;
    const auto address = asio::ip::make_address(endpoint_.host, error);
    if (!error) acceptor_.open(address.is_v6() ? tcp::v6() : tcp::v4(), error);
    if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor_.set_option(ReusePort(true), error);
    if (!error) acceptor_.bind(tcp::endpoint(address, endpoint_.port), error);
    if (!error) acceptor_.listen(kListenBacklog, error);
    if (error) {
      return MakeError(ErrorKind::kInvalidArgument,
                       "cannot listen on " + endpoint_.ToString() + ": " + error.message());
    }
    port_ = acceptor_.local_endpoint().port();
    asio::co_spawn(context_, Accept(shared_from_this()), asio::detached);
    return absl::OkStatus();
  }

  void StopAccepting() override {
    stopping_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
  }

  uint16_t Port() const override { return port_; }

 private:
  static constexpr int kListenBacklog = 4096;

  static asio::awaitable<void> Accept(std::shared_ptr<ServerImpl> self) {
    while (!self->stopping_) {
      beast::error_code error;
      tcp::socket socket =
          co_await self->acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
      if (error) continue;
      socket.set_option(tcp::no_delay(true), error);
      asio::co_spawn(self->context_, Serve(self, TimedStream(std::move(socket))), asio::detached);
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<ServerImpl> self, TimedStream stream) {
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
      open = co_await ServeOne(*self, stream, buffer);
      if (self->stopping_) open = false;
    }
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Reads and answers one request; false when the connection must not be used again.
  static asio::awaitable<bool> ServeOne(ServerImpl& self, TimedStream& stream,
                                        beast::flat_buffer& buffer) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(self.limits_.header_bytes);
    parser.body_limit(self.limits_.body_bytes);
    beast::error_code error;
    stream.expires_after(self.limits_.idle_timeout);
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      if (IsParseError(error)) co_await self.RefuseUnparsed(stream, ParseError(error));
      co_return false;
    }
    const bool keep_alive = parser.get().keep_alive() && !self.stopping_;
    stream.expires_never();
    ExchangeImpl exchange(stream, self.limits_, ToRequest(parser.release()), keep_alive);
    co_await self.handler_(exchange);
    co_return keep_alive&& exchange.Finished();
  }

  asio::awaitable<void> RefuseUnparsed(TimedStream& stream, absl::Status status) {
    HttpResponse response;
    response.status = HttpStatusFor(KindOf(status));
    if (on_parse_error_) response = on_parse_error_(status);
    ExchangeImpl exchange(stream, limits_, HttpRequest(), false);
    co_await exchange.Respond(std::move(response));
  }

  asio::io_context& context_;
  Endpoint endpoint_;
  HttpServerLimits limits_;
  HttpHandler handler_;
  HttpParseErrorHandler on_parse_error_;
  tcp::acceptor acceptor_;
  uint16_t port_ = 0;
  bool stopping_ = false;
};

// Owns the shared implementation; connections keep it alive past this handle.
class ServerHandle final : public HttpServer {
 public:
  explicit ServerHandle(std::shared_ptr<ServerImpl> impl) : impl_(std::move(impl)) {}
  ~ServerHandle() override { impl_->StopAccepting(); }
  absl::Status Start() override { return impl_->Start(); }
  void StopAccepting() override { impl_->StopAccepting(); }
  uint16_t Port() const override { return impl_->Port(); }

 private:
  std::shared_ptr<ServerImpl> impl_;
};

}  // namespace

std::unique_ptr<HttpServer> MakeHttpServer(asio::io_context& context, Endpoint endpoint,
                                           HttpServerLimits limits, HttpHandler handler,
                                           HttpParseErrorHandler on_parse_error) {
  return std::make_unique<ServerHandle>(std::make_shared<ServerImpl>(
      context, std::move(endpoint), limits, std::move(handler), std::move(on_parse_error)));
}

}  // namespace cartsail
