// A TCP connection whose calls end when its time is over, by the clock that goes on while the
// machine is suspended; Beast's tcp_stream knows the steady clock only. Meets the requirements of
// asynchronous streams. One thread.
//
// The kernel tells of a broken connection once, to whichever call asks first, be it a write or a
// look at what has arrived; a later read finds an end like that of a connection closed in order. So
// readers of answers make each call through this class, which keeps what any of them was told.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include "cartsail/base/timer.h"

namespace cartsail {

class TimedStream {
 public:
  using executor_type = boost::asio::any_io_executor;
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  explicit TimedStream(const executor_type& executor);
  explicit TimedStream(Socket socket);

  executor_type get_executor() { return state_->socket.get_executor(); }
  Socket& socket() { return state_->socket; }

  // When that time has come, pending calls and all later ones fail with beast::error::timeout, and
  // the connection is closed.
  void expires_at(TimePoint time);
  void expires_after(Duration duration) { expires_at(Now() + duration); }
  void expires_never();

  // Looks at what has arrived, without taking it: copies its first bytes to `buffer` and returns
  // their number, 0 if the connection has ended or broken; nullopt if nothing has arrived.
  std::optional<size_t> Peek(boost::asio::mutable_buffer buffer) const;

  // Writes what the send buffer has room for at once; returns the number of bytes, 0 on an error.
  size_t WriteNow(boost::asio::const_buffer bytes);

  template <typename Token>
  auto async_connect(const Endpoint& endpoint, Token&& token) {
    const auto start = [endpoint](Socket& socket, auto self) {
      socket.async_connect(endpoint, std::move(self));
    };
    return boost::asio::async_compose<Token, void(boost::beast::error_code)>(
        Operation<decltype(start)>{state_, start}, token, state_->socket);
  }

  template <typename Buffers, typename Token>
  auto async_read_some(const Buffers& buffers, Token&& token) {
    const auto start = [buffers](Socket& socket, auto self) {
      socket.async_read_some(buffers, std::move(self));
    };
    return boost::asio::async_compose<Token, void(boost::beast::error_code, size_t)>(
        Operation<decltype(start)>{state_, start}, token, state_->socket);
  }

  template <typename Buffers, typename Token>
  auto async_write_some(const Buffers& buffers, Token&& token) {
    const auto start = [buffers](Socket& socket, auto self) {
      socket.async_write_some(buffers, std::move(self));
    };
    return boost::asio::async_compose<Token, void(boost::beast::error_code, size_t)>(
        Operation<decltype(start)>{state_, start}, token, state_->socket);
  }

 private:
  struct State : std::enable_shared_from_this<State> {
    explicit State(Socket stream_socket)
        : socket(std::move(stream_socket)), timer(socket.get_executor()) {}

    void Arm(TimePoint time);
    void OnTimer(uint64_t wait);

    // What a call that ended with `error` is to report.
    boost::beast::error_code ErrorOf(const boost::beast::error_code& error);

    Socket socket;
    Timer timer;
    TimePoint deadline = TimePoint::max();
    TimePoint armed_for = TimePoint::max();  // of the timer's wait under way
    uint64_t waits = 0;                      // number of the wait under way
    bool expired = false;
    bool broken = false;  // a call was told that the connection broke
  };

  // One call on the socket; tells a timeout from other failures, and a break from an end in order.
  template <typename Start>
  struct Operation {
    std::shared_ptr<State> state;
    Start start;

    template <typename Self>
    void operator()(Self& self) {
      // Kept beyond the move of `self`, of which this is a part.
      const std::shared_ptr<State> kept = state;
      const Start begin = start;
      begin(kept->socket, std::move(self));
    }

    template <typename Self, typename... Results>
    void operator()(Self& self, boost::beast::error_code error, Results... results) {
      self.complete(state->ErrorOf(error), results...);
    }
  };

  std::shared_ptr<State> state_;
};

}  // namespace cartsail
