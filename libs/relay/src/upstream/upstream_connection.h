// One connection to a back end, on a path of this node's own or over another node. Used by one
// exchange at a time; a connection on which anything unexpected happened is not used again.
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
  kMalformed,  // bytes that are no answer
};

std::string_view ConnectResultName(ConnectResult result);

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  std::optional<uint64_t> length;  // of the body, if the head tells it

  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

// What goes along with a request that is sent.
struct SentRequest {
  std::string id;
  Duration left{};  // that its caller still waits
  bool may_repeat = false;
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  explicit UpstreamConnection(boost::asio::any_io_executor executor);

  // Unless it is connected by `deadline`, nothing was sent.
  boost::asio::awaitable<ConnectResult> Connect(const std::string& address, TimePoint deadline);

  // The same over the node that bridges at `peer`.
  boost::asio::awaitable<BridgeResult> ConnectOver(const Endpoint& peer, const BridgeOrder& order,
                                                   TimePoint deadline);

  // When the back end took it; the end of time where another node connected to the back end.
  TimePoint Connected() const { return over_.empty() ? connected_ : TimePoint::max(); }

  // The node over which it goes; empty: none.
  const std::string& Over() const { return over_; }

  // What is seen of the path, of this connection and of others, is noted there.
  void SetUse(std::shared_ptr<PathUse> use) { use_ = std::move(use); }

  // Starts sending; the answer may be read meanwhile. A failure to send shows when reading.
  void StartRequest(std::string head, std::shared_ptr<const std::string> body,
                    const SentRequest& about = {});

  // Reads the head of the next final answer. `is_head_request`: its body is not sent.
  boost::asio::awaitable<UpstreamError> ReadHead(ResponseHead* head, bool is_head_request,
                                                 TimePoint deadline);

  // Reads some of the body into `*chunk`; an empty one is its end.
  boost::asio::awaitable<UpstreamError> ReadBody(std::string* chunk, TimePoint deadline);

  // What tells the end of the body whose head was read last.
  BodyFraming Framing() const { return framing_; }

  // How the reading of that body has ended; kFraming until then.
  ReadingEnd HowReadingEnded() const { return reading_end_; }

  // True after a whole exchange that leaves the connection clean.
  bool IsReusable() const;

  // True when an idle connection has neither been closed nor got bytes that nobody asked for.
  bool IsQuiet();

  // Closes at once; pending calls end with kBroken.
  void Close();

  // The path is cut: a request that may be repeated, and of which nothing was heard for `silence`,
  // is to be sent elsewhere.
  void GiveUpIfSilent(Duration silence, TimePoint now);

  // It ended on the way to the back end, which says nothing of the back end itself: the other node
  // went, or the path was cut.
  bool IsLostOnTheWay() const;

  // The node over which it goes has not passed the last request on: it was not sent.
  bool WasWithheld() const { return stream_.EndedBy() == FrameKind::kWithheld; }

  // The connection as bytes, for a node that bridges.
  TimedStream& Transport() { return stream_.Transport(); }

  // The connection is idle from now on.
  void NoteIdle(TimePoint now) { usable_until_ = now + idle_limit_; }

  // Idle connections may be used until then.
  TimePoint UsableUntil() const { return usable_until_; }

 private:
  UpstreamError ErrorOf(const boost::beast::error_code& error) const;
  void NoteKeepAlive(const ResponseHead& head);
  BodyFraming FramingOfHead(bool is_head_request) const;
  ReadingEnd EndOf(const boost::beast::error_code& error) const;
  void NoteHeard();
  void EndWaiting();
  void TellAnswerRead();

  UpstreamStream stream_;
  std::string over_;
  TimePoint connected_{};
  std::shared_ptr<PathUse> use_;
  std::string prefix_;  // before the request, on a bridge
  bool may_repeat_ = false;
  bool is_waiting_ = false;  // a request was sent, and its answer has not ended
  bool given_up_ = false;
  bool was_heard_ = false;
  TimePoint last_heard_{};  // or when the request was sent
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
  Duration idle_limit_;
  TimePoint usable_until_{};
};

}  // namespace cartsail
