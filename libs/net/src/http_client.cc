#include "cartsail/net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "cartsail/base/status.h"
#include "cartsail/net/answer_head.h"
#include "cartsail/net/timed_stream.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr size_t kReadBytes = 1 << 14;

absl::Status LostError(const beast::error_code& error) {
  if (error == beast::error::timeout) return MakeError(ErrorKind::kTimeout, "no answer in time");
  return MakeError(ErrorKind::kConnectionLost, error.message());
}

class ConnectionImpl final : public HttpConnection {
 public:
  explicit ConnectionImpl(asio::any_io_executor executor) : stream_(executor) {}

  asio::awaitable<absl::Status> Connect(const Endpoint& endpoint, Duration timeout) override {
    beast::error_code error;
    const auto address = asio::ip::make_address(endpoint.host, error);
    if (error) co_return MakeError(ErrorKind::kConnectFailed, "not an IP number");
    stream_.expires_after(timeout);
    co_await stream_.async_connect(tcp::endpoint(address, endpoint.port),
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return MakeError(ErrorKind::kConnectFailed, error.message());
    stream_.socket().set_option(tcp::no_delay(true), error);
    host_ = endpoint.ToString();
    co_return absl::OkStatus();
  }

  asio::awaitable<absl::Status> Send(const HttpRequest& request, Duration timeout) override {
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(beast::string_view(request.method.data(), request.method.size()));
    message.target(beast::string_view(request.target.data(), request.target.size()));
    message.set(http::field::host, host_);
    for (const HttpHeader& header : request.headers) {
      message.set(beast::string_view(header.name.data(), header.name.size()),
                  beast::string_view(header.value.data(), header.value.size()));
    }
    message.body() = request.body;
    message.prepare_payload();
    reusable_ = false;
    is_head_request_ = request.method == "HEAD";
    answer_begun_ = false;
    beast::error_code error;
    stream_.expires_after(timeout);
    co_await http::async_write(stream_, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return LostError(error);
    co_return absl::OkStatus();
  }

  asio::awaitable<absl::StatusOr<HttpResponse>> ReadHead(Duration timeout) override {
    const TimePoint deadline = Now() + timeout;
    for (int i = 0; i <= kMaxInterimHeads; ++i) {
      stream_.expires_at(deadline);
      absl::StatusOr<HttpResponse> head = co_await ReadOneHead();
      if (!head.ok()) co_return head;
      const HeadVerdict verdict = JudgeHead(head->status, head->headers);
      if (verdict == HeadVerdict::kFinal) co_return head;
      if (verdict == HeadVerdict::kMalformed) break;
    }
    co_return MakeError(ErrorKind::kBackendFailed, "the answer has a malformed head");
  }

  asio::awaitable<absl::StatusOr<std::string>> ReadSome(Duration timeout) override {
    std::string chunk;
    while (!parser_->is_done()) {
      chunk.resize(kReadBytes);
      parser_->get().body().data = chunk.data();
      parser_->get().body().size = chunk.size();
      beast::error_code error;
      stream_.expires_after(timeout);
      co_await http::async_read_some(stream_, buffer_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, error));
      if (error == http::error::need_buffer) error = {};
      if (error) co_return LostError(error);
      chunk.resize(chunk.size() - parser_->get().body().size);
      if (!chunk.empty()) co_return chunk;
    }
    reusable_ = parser_->get().keep_alive();
    stream_.expires_never();
    co_return std::string();
  }

  BodyEnd HowBodyEnded() const override {
    const int status = static_cast<int>(parser_->get().result_int());
    const bool has_body = !is_head_request_ && !HasNoBody(status);
    if (!has_body || !parser_->need_eof()) return JudgeBodyEnd({});
    return JudgeBodyEnd({BodyFraming::kConnection, ReadingEnd::kPeerClosed, ContentEnd::kOpaque});
  }

  bool HasAnswerBegun() const override { return answer_begun_; }

  bool Reusable() const override {
    char byte = 0;
    const bool is_quiet = !stream_.Peek(asio::buffer(&byte, 1)).has_value();
    return reusable_ && buffer_.size() == 0 && is_quiet;
  }

  void Close() override {
    beast::error_code ignored;
    stream_.socket().close(ignored);
  }

 private:
  // Reads one head, interim or final.
  asio::awaitable<absl::StatusOr<HttpResponse>> ReadOneHead() {
    parser_.emplace();
    parser_->body_limit(boost::none);
    parser_->skip(is_head_request_);
    beast::error_code error;
    co_await http::async_read_header(stream_, buffer_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, error));
    answer_begun_ = answer_begun_ || parser_->got_some() || buffer_.size() > 0;
    if (error) co_return LostError(error);
    HttpResponse response;
    response.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get()) {
      response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    co_return response;
  }

  TimedStream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::string host_;
  bool is_head_request_ = false;
  bool answer_begun_ = false;
  bool reusable_ = false;
};

asio::awaitable<absl::StatusOr<HttpResponse>> Exchange(HttpConnection& connection,
                                                       const HttpRequest& request, Duration timeout,
                                                       size_t body_limit) {
  const absl::Status sent = co_await connection.Send(request, timeout);
  if (!sent.ok()) co_return sent;
  absl::StatusOr<HttpResponse> response = co_await connection.ReadHead(timeout);
  if (!response.ok()) co_return response.status();
  while (true) {
    absl::StatusOr<std::string> chunk = co_await connection.ReadSome(timeout);
    if (!chunk.ok()) co_return chunk.status();
    if (chunk->empty()) break;
    response->body += *chunk;
    if (response->body.size() > body_limit) {
      co_return MakeError(ErrorKind::kBodyTooLarge, "response body exceeds the limit");
    }
  }
  response->body_end = connection.HowBodyEnded();
  co_return response;
}

}  // namespace

std::unique_ptr<HttpConnection> MakeHttpConnection(asio::any_io_executor executor) {
  return std::make_unique<ConnectionImpl>(std::move(executor));
}

HttpConnectionPool::HttpConnectionPool(asio::any_io_executor executor, size_t idle_limit)
    : executor_(std::move(executor)), idle_limit_(idle_limit) {}

std::unique_ptr<HttpConnection> HttpConnectionPool::TakeIdle(const Endpoint& endpoint) {
  const auto found = idle_.find(endpoint.ToString());
  if (found == idle_.end()) return nullptr;
  while (!found->second.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(found->second.back());
    found->second.pop_back();
    if (connection->Reusable()) return connection;
  }
  return nullptr;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::MakeNew() {
  return MakeHttpConnection(executor_);
}

void HttpConnectionPool::Return(const Endpoint& endpoint,
                                std::unique_ptr<HttpConnection> connection) {
  if (!connection->Reusable()) return;
  auto& idle = idle_[endpoint.ToString()];
  if (idle.size() < idle_limit_) idle.push_back(std::move(connection));
}

asio::awaitable<absl::StatusOr<HttpResponse>> Fetch(asio::any_io_executor executor,
                                                    Endpoint endpoint, HttpRequest request,
                                                    Duration timeout, size_t body_limit) {
  std::unique_ptr<HttpConnection> connection = MakeHttpConnection(executor);
  const absl::Status connected = co_await connection->Connect(endpoint, timeout);
  if (!connected.ok()) co_return connected;
  co_return co_await Exchange(*connection, request, timeout, body_limit);
}

asio::awaitable<absl::StatusOr<HttpResponse>> FetchPooled(HttpConnectionPool& pool,
                                                          Endpoint endpoint, HttpRequest request,
                                                          Duration timeout, size_t body_limit) {
  std::unique_ptr<HttpConnection> connection = pool.TakeIdle(endpoint);
  if (connection != nullptr) {
    absl::StatusOr<HttpResponse> response =
        co_await Exchange(*connection, request, timeout, body_limit);
    if (response.ok()) {
      pool.Return(endpoint, std::move(connection));
      co_return response;
    }
    const bool was_lost = KindOf(response.status()) == ErrorKind::kConnectionLost;
    if (!was_lost || connection->HasAnswerBegun()) co_return response;
  }
  connection = pool.MakeNew();
  const absl::Status connected = co_await connection->Connect(endpoint, timeout);
  if (!connected.ok()) co_return connected;
  absl::StatusOr<HttpResponse> response =
      co_await Exchange(*connection, request, timeout, body_limit);
  if (response.ok()) pool.Return(endpoint, std::move(connection));
  co_return response;
}

}  // namespace cartsail
