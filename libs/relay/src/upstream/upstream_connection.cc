#include "upstream/upstream_connection.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "cartsail/base/text.h"
#include "cartsail/net/answer_head.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr size_t kReadBytes = 1 << 13;
constexpr size_t kMostBufferedBytes = 1 << 16;
constexpr Duration kDefaultIdleLimit = seconds(4);
constexpr Duration kIdleMargin =
    milliseconds(700);  // safety margin before the back end's idle timeout
// Heads are shorter; more unread data than this includes some of the body.
constexpr size_t kMaxPeekedBytes = 1 << 12;

bool IsTimeout(const beast::error_code& error) { return error == beast::error::timeout; }

// True if the peer closed its side of the connection in an orderly way.
bool IsClosedByPeer(const beast::error_code& error) {
  return error == asio::error::eof || error == http::error::end_of_stream ||
         error == http::error::partial_message;
}

// Parses the timeout of a Keep-Alive header: "timeout=5, max=100" -> 5 s.
std::optional<Duration> KeepAliveTimeout(std::string_view text) {
  constexpr std::string_view kName = "timeout=";
  const size_t start = text.find(kName);
  if (start == std::string_view::npos) return std::nullopt;
  std::string_view digits = text.substr(start + kName.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  int64_t value = 0;
  if (!ParseInteger(digits, &value)) return std::nullopt;
  return Bounded(seconds(value));
}

}  // namespace

UpstreamConnection::UpstreamConnection(asio::any_io_executor executor)
    : stream_(executor), buffer_(kMostBufferedBytes), idle_limit_(kDefaultIdleLimit) {}

UpstreamError UpstreamConnection::ErrorOf(const beast::error_code& error) const {
  if (!error) return UpstreamError::kNone;
  if (IsTimeout(error)) return UpstreamError::kTimeout;
  const bool from_parser =
      error.category() == http::make_error_code(http::error::bad_version).category();
  if (from_parser && error != http::error::end_of_stream && error != http::error::partial_message) {
    return UpstreamError::kMalformed;
  }
  return UpstreamError::kBroken;
}

BodyFraming UpstreamConnection::FramingOfHead(bool is_head_request) const {
  if (is_head_request || HasNoBody(static_cast<int>(parser_->get().result_int()))) {
    return BodyFraming::kNone;
  }
  if (parser_->chunked()) return BodyFraming::kChunked;
  return parser_->need_eof() ? BodyFraming::kConnection : BodyFraming::kLength;
}

ReadingEnd UpstreamConnection::EndOf(const beast::error_code& error) const {
  if (!error && framing_ != BodyFraming::kConnection) return ReadingEnd::kFraming;
  if (closed_here_) return ReadingEnd::kOwnClose;
  if (IsTimeout(error)) return ReadingEnd::kTimeout;
  if (IsLostOnTheWay()) return ReadingEnd::kLostOnTheWay;
  if (error && !IsClosedByPeer(error)) return ReadingEnd::kReset;
  // A server that has ended its side without the whole request has more likely crashed than
  // answered: what it sent is not known to be whole, as nothing but its end delimits it.
  const bool is_request_taken = !write_pending_ && !write_failed_;
  const bool is_delimited = framing_ != BodyFraming::kConnection;
  return is_request_taken || is_delimited ? ReadingEnd::kPeerClosed : ReadingEnd::kInsideRequest;
}

std::string_view ConnectResultName(ConnectResult result) {
  switch (result) {
    case ConnectResult::kConnected:
      return "connected";
    case ConnectResult::kRefused:
      return "refused";
    case ConnectResult::kFailed:
      return "failed";
  }
  return "unknown";
}

asio::awaitable<ConnectResult> UpstreamConnection::Connect(const std::string& address,
                                                           TimePoint deadline) {
  Endpoint endpoint;
  if (!ParseEndpoint(address, &endpoint)) co_return ConnectResult::kFailed;
  beast::error_code error;
  const auto ip = asio::ip::make_address(endpoint.host, error);
  if (error) co_return ConnectResult::kFailed;
  TimedStream& transport = stream_.Transport();
  transport.expires_at(deadline);
  const tcp::endpoint target(ip, endpoint.port);
  co_await transport.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error == asio::error::connection_refused) co_return ConnectResult::kRefused;
  if (error) co_return ConnectResult::kFailed;
  transport.socket().set_option(tcp::no_delay(true), error);
  // The deadline covers connecting only; left armed, it would close the connection while idle.
  transport.expires_never();
  connected_ = Now();
  co_return ConnectResult::kConnected;
}

asio::awaitable<BridgeResult> UpstreamConnection::ConnectOver(const Endpoint& peer,
                                                              const BridgeOrder& order,
                                                              TimePoint deadline) {
  const ConnectResult result = co_await Connect(peer.ToString(), deadline);
  if (result != ConnectResult::kConnected) co_return BridgeResult::kLost;
  TimedStream& transport = stream_.Transport();
  transport.expires_at(deadline);
  const std::string message = EncodeBridgeOrder(order);
  beast::error_code error;
  co_await asio::async_write(transport, asio::buffer(message),
                             asio::redirect_error(asio::use_awaitable, error));
  uint8_t answer = 0;
  if (!error) {
    co_await asio::async_read(transport, asio::buffer(&answer, 1),
                              asio::redirect_error(asio::use_awaitable, error));
  }
  if (error || answer >= kBridgeResults) co_return BridgeResult::kLost;
  transport.expires_never();
  over_ = peer.host;
  stream_.ReadFrames();
  co_return static_cast<BridgeResult>(answer);
}

void UpstreamConnection::StartRequest(std::string head, std::shared_ptr<const std::string> body,
                                      const SentRequest& about) {
  request_head_ = std::move(head);
  request_body_ = std::move(body);
  const uint64_t bytes = request_head_.size() + request_body_->size();
  prefix_ = over_.empty() ? std::string() : EncodeBridgedRequest({about.id, bytes, about.left});
  write_pending_ = true;
  write_failed_ = false;
  keep_alive_ = false;
  is_waiting_ = true;
  if (use_ != nullptr) use_->Begin(Now());
  const std::array<asio::const_buffer, 3> buffers = {
      asio::buffer(prefix_), asio::buffer(request_head_), asio::buffer(*request_body_)};
  asio::async_write(stream_, buffers,
                    [self = shared_from_this()](const beast::error_code& error, size_t) {
                      self->write_pending_ = false;
                      if (error) self->write_failed_ = true;
                    });
}

// Tells the bridging node that no exchange is in progress. The message is expected to fit into the
// socket's send buffer, since the response was read; if it does not, the connection is broken.
void UpstreamConnection::NotifyResponseRead() {
  if (over_.empty() || broken_ || write_pending_) return;
  const std::string message = EncodeBridgedRequest({});
  broken_ = stream_.Transport().WriteNow(asio::buffer(message)) != message.size();
}

void UpstreamConnection::NoteHeard() {
  if (use_ != nullptr) use_->NoteHeard(!std::exchange(was_heard_, true), Now());
}

void UpstreamConnection::EndWaiting() {
  if (!std::exchange(is_waiting_, false) || use_ == nullptr) return;
  use_->End(Now());
}

asio::awaitable<UpstreamError> UpstreamConnection::ReadHead(ResponseHead* head,
                                                            bool is_head_request,
                                                            TimePoint deadline) {
  stream_.Transport().expires_at(deadline);
  for (int i = 0; i <= kMaxInterimHeads; ++i) {
    const UpstreamError error = co_await ReadOneHead(head, is_head_request);
    if (error != UpstreamError::kNone) {
      EndWaiting();
      co_return error;
    }
    const HeadVerdict verdict = JudgeHead(head->status, head->headers);
    if (verdict == HeadVerdict::kInterim) continue;
    if (verdict == HeadVerdict::kMalformed) break;
    NoteHead(*head, is_head_request);
    co_return UpstreamError::kNone;
  }
  broken_ = true;
  EndWaiting();
  co_return UpstreamError::kMalformed;
}

asio::awaitable<UpstreamError> UpstreamConnection::ReadOneHead(ResponseHead* head,
                                                               bool is_head_request) {
  parser_.emplace();
  parser_->body_limit(boost::none);
  parser_->header_limit(kMostBufferedBytes / 2);
  parser_->skip(is_head_request);
  beast::error_code error;
  co_await http::async_read_header(stream_, buffer_, *parser_,
                                   asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    broken_ = true;
    co_return ErrorOf(error);
  }
  NoteHeard();
  const auto& message = parser_->get();
  head->status = static_cast<int>(message.result_int());
  head->reason = std::string(message.reason());
  head->headers.clear();
  for (const auto& field : message) {
    head->headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  head->length = std::nullopt;
  if (parser_->content_length()) head->length = *parser_->content_length();
  co_return UpstreamError::kNone;
}

void UpstreamConnection::NoteHead(const ResponseHead& head, bool is_head_request) {
  keep_alive_ = parser_->get().keep_alive();
  framing_ = FramingOfHead(is_head_request);
  reading_end_ = ReadingEnd::kFraming;
  NoteKeepAlive(head);
}

std::optional<int> UpstreamConnection::PeekStatus() {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  constexpr size_t kStatusDigits = 3;
  // The status is followed by a blank, also where there is no reason.
  constexpr size_t kBytes = kVersion.size() + kStatusDigits + 1;
  std::array<char, kFrameHeadBytes + kBytes> bytes{};
  const size_t frame = stream_.IsFramed() ? kFrameHeadBytes : 0;
  const size_t wanted = frame + kBytes;
  if (stream_.Transport().Peek(asio::buffer(bytes, wanted)) != wanted) return std::nullopt;
  const std::string_view line = std::string_view(bytes.data(), wanted).substr(frame);
  if (!line.starts_with(kVersion) || line.back() != ' ') return std::nullopt;
  int64_t status = 0;
  if (!ParseInteger(line.substr(kVersion.size(), kStatusDigits), &status)) return std::nullopt;
  if (JudgeStatus(static_cast<int>(status)) == HeadVerdict::kMalformed) return std::nullopt;
  return static_cast<int>(status);
}

bool UpstreamConnection::HasBodyData() {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  std::array<char, kMaxPeekedBytes> bytes{};
  const std::string_view data(bytes.data(),
                              stream_.Transport().Peek(asio::buffer(bytes)).value_or(0));
  if (data.size() == bytes.size()) return true;
  const size_t head_end = data.find(kHeadEnd);
  return head_end != std::string_view::npos && head_end + kHeadEnd.size() < data.size();
}

void UpstreamConnection::NoteKeepAlive(const ResponseHead& head) {
  const std::optional<Duration> timeout = KeepAliveTimeout(head.Header("Keep-Alive"));
  if (timeout.has_value()) idle_limit_ = std::max<Duration>(*timeout - kIdleMargin, Duration(0));
}

asio::awaitable<UpstreamError> UpstreamConnection::ReadBody(std::string* chunk,
                                                            TimePoint deadline) {
  chunk->clear();
  stream_.Transport().expires_at(deadline);
  while (!parser_->is_done()) {
    chunk->resize(kReadBytes);
    parser_->get().body().data = chunk->data();
    parser_->get().body().size = chunk->size();
    parser_->get().body().more = true;
    beast::error_code error;
    co_await http::async_read_some(stream_, buffer_, *parser_,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) error = {};
    chunk->resize(chunk->size() - parser_->get().body().size);
    if (error) {
      if (reading_end_ == ReadingEnd::kFraming) reading_end_ = EndOf(error);
      broken_ = true;
    }
    if (broken_) EndWaiting();
    if (!chunk->empty()) {
      NoteHeard();
      co_return UpstreamError::kNone;
    }
    if (error) co_return ErrorOf(error);
  }
  reading_end_ = EndOf({});
  stream_.Transport().expires_never();
  EndWaiting();
  NotifyResponseRead();
  NoteIdle(Now());
  co_return broken_ ? UpstreamError::kBroken : UpstreamError::kNone;
}

bool UpstreamConnection::IsReusable() const {
  return parser_.has_value() && parser_->is_done() && keep_alive_ && !broken_ && !write_pending_ &&
         !write_failed_ && buffer_.size() == 0;
}

bool UpstreamConnection::IsQuiet() {
  char byte = 0;
  return !stream_.Transport().Peek(asio::buffer(&byte, 1)).has_value();
}

void UpstreamConnection::WatchIdle() {
  const uint64_t watch = ++idle_watch_;
  stream_.Transport().socket().async_wait(
      tcp::socket::wait_read, [weak = weak_from_this(), watch](const beast::error_code& error) {
        const std::shared_ptr<UpstreamConnection> self = weak.lock();
        if (!error && self != nullptr && self->idle_watch_ == watch) self->Close();
      });
}

void UpstreamConnection::EndIdleWatch() {
  ++idle_watch_;
  beast::error_code ignored;
  stream_.Transport().socket().cancel(ignored);
}

bool UpstreamConnection::IsLostOnTheWay() const {
  const FrameKind end = stream_.EndedBy();
  return !over_.empty() && end != FrameKind::kEnd && end != FrameKind::kBroken;
}

void UpstreamConnection::Close() {
  closed_here_ = true;
  broken_ = true;
  EndWaiting();
  beast::error_code ignored;
  stream_.Transport().socket().close(ignored);
}

}  // namespace cartsail
