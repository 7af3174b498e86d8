// One connection from a caller: reads requests one after the other, writes the answers, and reports
// when the caller disconnects.
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
  // Error to answer before the connection closes. Neither this nor a request: nothing to answer.
  std::optional<ErrorKind> fault;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  explicit CallerConnection(boost::asio::ip::tcp::socket socket);

  // Calls `has_room` with the size of the body, or the size limit of a chunked body, before reading
  // it; on false the result is the fault kOverloaded.
  boost::asio::awaitable<ReadRequestResult> ReadRequest(
      RequestLimits limits, const std::function<bool(int64_t body_bytes)>& has_room);

  // Returns false if the caller has disconnected or the write timed out.
  boost::asio::awaitable<bool> Write(std::string_view bytes);

  // Waits until the connection accepts some bytes and returns how many; 0 if the caller has
  // disconnected or the write timed out.
  boost::asio::awaitable<size_t> WriteSome(std::string_view bytes);

  // Writes without waiting and returns the number of bytes accepted; nullopt if the caller has
  // disconnected.
  std::optional<size_t> WriteAtOnce(std::string_view bytes);

  // Calls `on_gone` once if the caller closes the connection before StopWatch().
  void WatchForClose(std::function<void()> on_gone);
  void StopWatch();

  // True between two requests, until the first byte of the next one arrives.
  bool IsIdle() const { return idle_; }

  // Closes the connection after an answer to a request that was not fully read. Incoming data is
  // read and discarded for a short time first: a reset could destroy the answer.
  boost::asio::awaitable<void> CloseGracefully();

  void Close();

 private:
  boost::asio::awaitable<bool> AwaitFirstByte(Duration idle_timeout);

  void StartReadTimer(Duration limit);
  void StopReadTimer();

  TimedStream stream_;
  Timer read_timer_;  // cancels a read and leaves the connection open for an answer
  boost::beast::flat_buffer buffer_;
  std::function<void()> on_gone_;
  uint64_t watch_ = 0;  // number of the current watch
  bool idle_ = false;
  bool gone_ = false;
  bool read_timed_out_ = false;
};

}  // namespace cartsail
