#include "cartsail/net/timed_stream.h"

namespace cartsail {

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
