// One connection of a caller: reads its requests one after the other, writes the answers, tells
// when the caller goes.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cartsail/base/clock.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_types.h"
#include "cartsail/net/timed_stream.h"
#include "cartsail/routing/routing_document.h"

namespace cartsail {

struct CallerRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::shared_ptr<const std::string> body;
  bool keep_alive = true;
  bool http_1_0 = false;
  TimePoint received;

  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

struct ReadRequestResult {
  std::optional<CallerRequest> request;
  std::optional<ErrorKind> fault;  // to be answered, then the connection closes; else it is over
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  explicit CallerConnection(boost::asio::ip::tcp::socket socket);

  // Asks `has_room` for the bytes of a request's body before it is read.
  boost::asio::awaitable<ReadRequestResult> ReadRequest(
      RequestLimits limits, const std::function<bool(int64_t body_bytes)>& has_room);

  // False when the caller has gone or takes nothing for long.
  boost::asio::awaitable<bool> Write(std::string_view bytes);

  // Waits until the caller takes some bytes; returns how many, 0 when it has gone or takes nothing
  // for long.
  boost::asio::awaitable<size_t> WriteSome(std::string_view bytes);

  // What the caller's connection takes without waiting, in bytes; nothing when the caller has gone.
  std::optional<size_t> WriteAtOnce(std::string_view bytes);

  // Calls `on_gone` once when the caller closes before StopWatch().
  void WatchForClose(std::function<void()> on_gone);
  void StopWatch();

  // True between two requests, while no byte of the next one is here.
  bool IsIdle() const { return idle_; }

  // Ends the connection after an answer to a request that was not read to its end: what still
  // comes is read for a moment, so that the answer is not lost in a reset.
  boost::asio::awaitable<void> CloseGracefully();

  void Close();

 private:
  boost::asio::awaitable<bool> AwaitFirstByte(Duration idle_timeout);

  void StartReadTimer(Duration limit);
  void StopReadTimer();

  TimedStream stream_;
  Timer read_timer_;  // ends a read and leaves the connection open for an answer
  boost::beast::flat_buffer buffer_;
  std::function<void()> on_gone_;
  uint64_t watch_ = 0;  // number of the watch in force
  bool idle_ = false;
  bool gone_ = false;
  bool read_timed_out_ = false;
};

}  // namespace cartsail
