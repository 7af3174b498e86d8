#include "request/caller_connection.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "cartsail/base/text.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr size_t kReadBytes = 1 << 13;
// By default the kernel buffers up to some megabytes for each caller that does not read.
constexpr int kSendBufferBytes = 1 << 16;
constexpr Duration kBodyTimeout = seconds(10);
constexpr Duration kWriteTimeout = seconds(20);
constexpr Duration kLingerTimeout = milliseconds(500);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::optional<ErrorKind> FaultOf(const beast::error_code& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return ErrorKind::kHeadersTooLarge;
  }
  if (error == http::error::body_limit) return ErrorKind::kBodyTooLarge;
  if (error == beast::error::timeout) return ErrorKind::kTimeout;
  if (error == http::error::end_of_stream || error == http::error::partial_message) {
    return std::nullopt;
  }
  const bool from_parser =
      error.category() == http::make_error_code(http::error::bad_version).category();
  if (from_parser) return ErrorKind::kMalformedRequest;
  return std::nullopt;
}

ReadRequestResult EndedBy(beast::error_code error) {
  ReadRequestResult result;
  result.fault = FaultOf(error);
  return result;
}

CallerRequest ToCallerRequest(http::request<http::string_body> message) {
  CallerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.keep_alive = message.keep_alive();
  request.http_1_0 = message.version() < 11;
  request.body = std::make_shared<const std::string>(std::move(message.body()));
  request.received = Now();
  return request;
}

}  // namespace

CallerConnection::CallerConnection(tcp::socket socket)
    : stream_(std::move(socket)), read_timer_(stream_.get_executor()), buffer_(1 << 20) {
  beast::error_code ignored;
  stream_.socket().set_option(tcp::no_delay(true), ignored);
  stream_.socket().set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
}

asio::awaitable<bool> CallerConnection::AwaitFirstByte(Duration idle_timeout) {
  if (buffer_.size() > 0) co_return true;
  idle_ = true;
  stream_.expires_after(idle_timeout);
  beast::error_code error;
  const auto space = buffer_.prepare(kReadBytes);
  const size_t bytes =
      co_await stream_.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
  buffer_.commit(bytes);
  idle_ = false;
  co_return !error;
}

asio::awaitable<ReadRequestResult> CallerConnection::ReadRequest(
    RequestLimits limits, const std::function<bool(int64_t body_bytes)>& has_room) {
  ReadRequestResult result;
  if (!co_await AwaitFirstByte(limits.idle_timeout)) co_return result;
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  beast::error_code error;
  stream_.expires_never();
  StartReadTimer(limits.header_timeout);
  co_await http::async_read_header(stream_, buffer_, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
  StopReadTimer();
  if (error) co_return EndedBy(read_timed_out_ ? beast::error::timeout : error);
  const uint64_t body_bytes =
      parser.chunked() ? limits.max_body_bytes : parser.content_length().value_or(0);
  if (!has_room(static_cast<int64_t>(body_bytes))) {
    result.fault = ErrorKind::kOverloaded;
    co_return result;
  }
  if (EqualsIgnoreCase(std::string_view(parser.get()[http::field::expect]), "100-continue")) {
    if (!co_await Write(kContinue)) co_return result;
  }
  if (!parser.is_done()) {
    stream_.expires_never();
    StartReadTimer(kBodyTimeout);
    co_await http::async_read(stream_, buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    StopReadTimer();
    if (error) co_return EndedBy(read_timed_out_ ? beast::error::timeout : error);
  }
  result.request = ToCallerRequest(parser.release());
  co_return result;
}

void CallerConnection::StartReadTimer(Duration limit) {
  read_timed_out_ = false;
  read_timer_.expires_after(limit);
  read_timer_.async_wait([self = shared_from_this()](const beast::error_code& error) {
    if (error) return;
    self->read_timed_out_ = true;
    beast::error_code ignored;
    self->stream_.socket().cancel(ignored);
  });
}

void CallerConnection::StopReadTimer() { read_timer_.cancel(); }

asio::awaitable<bool> CallerConnection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const size_t taken = co_await WriteSome(bytes);
    if (taken == 0) co_return false;
    bytes.remove_prefix(taken);
  }
  co_return true;
}

asio::awaitable<size_t> CallerConnection::WriteSome(std::string_view bytes) {
  beast::error_code error;
  stream_.expires_after(kWriteTimeout);
  const size_t taken = co_await stream_.async_write_some(
      asio::buffer(bytes.data(), bytes.size()), asio::redirect_error(asio::use_awaitable, error));
  // Bytes that the socket takes at once are written without a timeout, and would not renew this
  // one.
  stream_.expires_never();
  if (error) gone_ = true;
  co_return error ? 0 : taken;
}

std::optional<size_t> CallerConnection::WriteAtOnce(std::string_view bytes) {
  beast::error_code error;
  stream_.socket().non_blocking(true, error);
  size_t taken = 0;
  if (!error) taken = stream_.socket().write_some(asio::buffer(bytes.data(), bytes.size()), error);
  if (!error) return taken;
  if (error == asio::error::would_block || error == asio::error::try_again) return 0;
  gone_ = true;
  return std::nullopt;
}

void CallerConnection::WatchForClose(std::function<void()> on_gone) {
  on_gone_ = std::move(on_gone);
  const uint64_t watch = ++watch_;
  stream_.socket().async_wait(
      tcp::socket::wait_read, [self = shared_from_this(), watch](const beast::error_code& error) {
        if (error || watch != self->watch_ || !self->on_gone_) return;
        char byte = 0;
        const int socket = self->stream_.socket().native_handle();
        const ssize_t received = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool still_there =
            received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (still_there) return;  // bytes of the next request, read later
        self->gone_ = true;
        const std::function<void()> gone = std::move(self->on_gone_);
        self->on_gone_ = nullptr;
        gone();
      });
}

void CallerConnection::StopWatch() {
  ++watch_;
  on_gone_ = nullptr;
  beast::error_code ignored;
  stream_.socket().cancel(ignored);
}

asio::awaitable<void> CallerConnection::CloseGracefully() {
  beast::error_code error;
  stream_.socket().shutdown(tcp::socket::shutdown_send, error);
  stream_.expires_after(kLingerTimeout);
  while (!error) {
    buffer_.clear();
    const auto space = buffer_.prepare(kReadBytes);
    co_await stream_.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
  }
  Close();
}

void CallerConnection::Close() {
  beast::error_code ignored;
  stream_.socket().close(ignored);
}

}  // namespace cartsail
