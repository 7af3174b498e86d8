// One connection to a back end. Used by one exchange at a time; a connection on which anything
// unexpected happened is not used again.
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
#include "cartsail/net/http_types.h"
#include "cartsail/net/timed_stream.h"

namespace cartsail {

enum class UpstreamError {
  kNone,
  kTimeout,    // the deadline of the call passed
  kBroken,     // the connection broke or was closed
  kMalformed,  // bytes that are no answer
};

enum class ConnectResult {
  kConnected,
  kRefused,  // its host answers that nobody listens there: the process has ended
  kFailed,   // no answer in time, or no way there
};

std::string_view ConnectResultName(ConnectResult result);

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  std::optional<uint64_t> length;  // of the body, if the head tells it

  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  explicit UpstreamConnection(boost::asio::any_io_executor executor);

  // Unless it is connected by `deadline`, nothing was sent.
  boost::asio::awaitable<ConnectResult> Connect(const std::string& address, TimePoint deadline);

  // Starts sending; the answer may be read meanwhile. A failure to send shows when reading.
  void StartRequest(std::string head, std::shared_ptr<const std::string> body);

  // Reads the head of the next final answer. `is_head_request`: its body is not sent.
  boost::asio::awaitable<UpstreamError> ReadHead(ResponseHead* head, bool is_head_request,
                                                 TimePoint deadline);

  // Reads some of the body into `*chunk`; an empty one is its end.
  boost::asio::awaitable<UpstreamError> ReadBody(std::string* chunk, TimePoint deadline);

  // True after a whole exchange that leaves the connection clean.
  bool IsReusable() const;

  // True when an idle connection has neither been closed nor got bytes that nobody asked for.
  bool IsQuiet();

  // Closes at once; pending calls end with kBroken.
  void Close();

  bool WasUsed() const { return exchanges_ > 0; }

  // The connection is idle from now on.
  void NoteIdle(TimePoint now) { usable_until_ = now + idle_limit_; }

  // Idle connections may be used until then.
  TimePoint UsableUntil() const { return usable_until_; }

 private:
  UpstreamError ErrorOf(const boost::beast::error_code& error) const;
  void NoteKeepAlive(const ResponseHead& head);

  TimedStream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string request_head_;
  std::shared_ptr<const std::string> request_body_;
  bool write_pending_ = false;
  bool write_failed_ = false;
  bool keep_alive_ = false;
  bool broken_ = false;
  int64_t exchanges_ = 0;
  Duration idle_limit_;
  TimePoint usable_until_{};
};

}  // namespace cartsail
