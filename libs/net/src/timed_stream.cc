#include "cartsail/net/timed_stream.h"

#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <cerrno>

namespace cartsail {
namespace {

namespace asio = boost::asio;

// False also for what a call is told after the peer ended its side in order: all that the peer sent
// before can still be read.
bool IsBreak(const boost::beast::error_code& error) {
  return error && error != asio::error::eof && error != asio::error::broken_pipe &&
         error != asio::error::operation_aborted && error != asio::error::bad_descriptor;
}

}  // namespace

TimedStream::TimedStream(const executor_type& executor)
    : state_(std::make_shared<State>(Socket(executor))) {}

TimedStream::TimedStream(Socket socket) : state_(std::make_shared<State>(std::move(socket))) {}

// A stream sets a later time before each of its reads: the wait under way is then left as it is,
// and goes on when it ends.
void TimedStream::expires_at(TimePoint time) {
  state_->expired = false;
  state_->deadline = time;
  if (time < state_->armed_for) state_->Arm(time);
}

void TimedStream::expires_never() {
  state_->deadline = TimePoint::max();
  state_->armed_for = TimePoint::max();
  ++state_->waits;
  state_->timer.cancel();
}

std::optional<size_t> TimedStream::Peek(asio::mutable_buffer buffer) const {
  const int socket = state_->socket.native_handle();
  const ssize_t received = recv(socket, buffer.data(), buffer.size(), MSG_PEEK | MSG_DONTWAIT);
  if (received >= 0) return static_cast<size_t>(received);
  if (errno == EAGAIN || errno == EWOULDBLOCK) return std::nullopt;
  (void)state_->ErrorOf({errno, asio::error::get_system_category()});
  return 0;
}

size_t TimedStream::WriteNow(asio::const_buffer bytes) {
  const int socket = state_->socket.native_handle();
  const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent >= 0) return static_cast<size_t>(sent);
  const bool has_no_room = errno == EAGAIN || errno == EWOULDBLOCK;
  if (!has_no_room) (void)state_->ErrorOf({errno, asio::error::get_system_category()});
  return 0;
}

boost::beast::error_code TimedStream::State::ErrorOf(const boost::beast::error_code& error) {
  if (error && expired) return boost::beast::error::timeout;
  if (IsBreak(error)) broken = true;
  const bool is_hidden_break = error == asio::error::eof && broken;
  return is_hidden_break ? asio::error::connection_reset : error;
}

void TimedStream::State::Arm(TimePoint time) {
  armed_for = time;
  const uint64_t wait = ++waits;
  timer.expires_at(time);
  timer.async_wait([weak = weak_from_this(), wait](const boost::system::error_code& error) {
    const std::shared_ptr<State> state = weak.lock();
    if (!error && state != nullptr) state->OnTimer(wait);
  });
}

void TimedStream::State::OnTimer(uint64_t wait) {
  if (wait != waits) return;
  armed_for = TimePoint::max();
  if (deadline == TimePoint::max()) return;
  if (Now() < deadline) return Arm(deadline);
  expired = true;
  deadline = TimePoint::max();
  boost::system::error_code ignored;
  socket.close(ignored);
}

}  // namespace cartsail
