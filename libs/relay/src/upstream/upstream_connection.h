// One connection to a back end, direct or over a bridging node. Carries one exchange at a time; it
// is not reused after an error or an unexpected event.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cartsail/base/clock.h"
#include "cartsail/net/body_end.h"
#include "cartsail/net/http_types.h"
#include "cartsail/reachability/reachability_evidence.h"
#include "upstream/bridge_message.h"
#include "upstream/path_use.h"
#include "upstream/upstream_stream.h"

namespace cartsail {

enum class UpstreamError {
  kNone,
  kTimeout,    // the deadline of the call passed
  kBroken,     // the connection broke or was closed
  kMalformed,  // the bytes received are not a valid response
};

std::string_view ConnectResultName(ConnectResult result);

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  std::optional<uint64_t> length;  // Content-Length; std::nullopt if absent

  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

// Properties of a request that are not part of its bytes.
struct SentRequest {
  std::string id;
  Duration left{};  // remaining time that the caller waits
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  explicit UpstreamConnection(boost::asio::any_io_executor executor);

  // Connects directly. Sends no data; the attempt fails at `deadline`.
  boost::asio::awaitable<ConnectResult> Connect(const std::string& address, TimePoint deadline);

  // Connects over the bridging node at `peer`.
  boost::asio::awaitable<BridgeResult> ConnectOver(const Endpoint& peer, const BridgeOrder& order,
                                                   TimePoint deadline);

  // When the back end accepted the connection; TimePoint::max() on a bridge, where another node
  // connected to the back end.
  TimePoint Connected() const { return over_.empty() ? connected_ : TimePoint::max(); }

  // The host of the bridging node; empty for a direct connection.
  const std::string& Over() const { return over_; }

  // Sets the record of path activity, shared with other connections; none by default.
  void SetUse(std::shared_ptr<PathUse> use) { use_ = std::move(use); }

  // Starts sending; the response may be read meanwhile. Send errors surface when reading.
  void StartRequest(std::string head, std::shared_ptr<const std::string> body,
                    const SentRequest& about = {});

  // Reads the next final response head; kMalformed if JudgeHead() says that it is none.
  // `is_head_request`: the response has no body.
  boost::asio::awaitable<UpstreamError> ReadHead(ResponseHead* head, bool is_head_request,
                                                 TimePoint deadline);

  // The status in the first line of the response, without reading it; nullopt if that line has not
  // arrived or is malformed, also by JudgeStatus().
  std::optional<int> PeekStatus();

  // True if unread data has arrived beyond the head of the response.
  bool HasBodyData();

  // Reads part of the body into `*chunk`; an empty chunk without an error is the end.
  boost::asio::awaitable<UpstreamError> ReadBody(std::string* chunk, TimePoint deadline);

  // What delimits the body of the response whose head was read last.
  BodyFraming Framing() const { return framing_; }

  // How reading that body ended; kFraming until then.
  ReadingEnd HowReadingEnded() const { return reading_end_; }

  // Closes the connection after this exchange instead of keeping it for another one.
  void ForbidReuse() { keep_alive_ = false; }

  // True after a complete exchange that left the connection fit for another one.
  bool IsReusable() const;

  // True if an idle connection was neither closed nor received unsolicited bytes.
  bool IsQuiet();

  // Closes the idle connection as soon as it is no longer quiet, until EndIdleWatch(): a back end
  // may send bytes without end after an answer.
  void WatchIdle();
  void EndIdleWatch();

  // Closes immediately; pending calls end with kBroken.
  void Close();

  // True if the connection failed before the back end, because the bridging node went away; this is
  // no evidence about the back end itself.
  bool IsLostOnTheWay() const;

  // True if the bridging node did not forward the last request to the back end.
  bool WasWithheld() const { return stream_.EndedBy() == FrameKind::kWithheld; }

  // The raw byte stream, for use by a bridging node.
  TimedStream& Transport() { return stream_.Transport(); }

  // Marks the connection as idle since `now`.
  void NoteIdle(TimePoint now) { usable_until_ = now + idle_limit_; }

  // When the idle connection expires.
  TimePoint UsableUntil() const { return usable_until_; }

 private:
  // Reads one head, interim or final.
  boost::asio::awaitable<UpstreamError> ReadOneHead(ResponseHead* head, bool is_head_request);
  void NoteHead(const ResponseHead& head, bool is_head_request);
  UpstreamError ErrorOf(const boost::beast::error_code& error) const;
  void NoteKeepAlive(const ResponseHead& head);
  BodyFraming FramingOfHead(bool is_head_request) const;
  ReadingEnd EndOf(const boost::beast::error_code& error) const;
  void NoteHeard();
  void EndWaiting();
  void NotifyResponseRead();

  UpstreamStream stream_;
  std::string over_;
  TimePoint connected_{};
  std::shared_ptr<PathUse> use_;
  std::string prefix_;       // encoded BridgedRequest; empty on a direct connection
  bool is_waiting_ = false;  // a request was started and its response has not ended
  bool was_heard_ = false;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string request_head_;
  std::shared_ptr<const std::string> request_body_;
  bool write_pending_ = false;
  bool write_failed_ = false;
  BodyFraming framing_ = BodyFraming::kNone;
  ReadingEnd reading_end_ = ReadingEnd::kFraming;
  bool keep_alive_ = false;
  bool broken_ = false;
  bool closed_here_ = false;
  uint64_t idle_watch_ = 0;  // number of the watch in progress
  Duration idle_limit_;
  TimePoint usable_until_{};
};

}  // namespace cartsail
