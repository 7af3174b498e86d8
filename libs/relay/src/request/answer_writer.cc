#include "request/answer_writer.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Of one answer. Streams of generated text are far smaller; a large body is read on when its caller
// has taken some of this.
constexpr size_t kMostWaitingBytes = size_t{256} << 10;
// While the node holds much: until it is looked again whether others have left room.
constexpr Duration kRoomCheck = milliseconds(50);

}  // namespace

AnswerWriter::AnswerWriter(asio::io_context& io, std::shared_ptr<CallerConnection> caller,
                           std::shared_ptr<RequestMemory> held)
    : io_(io), caller_(std::move(caller)), held_(std::move(held)), progress_(io) {
  progress_.expires_at(TimePoint::max());
}

asio::awaitable<bool> AnswerWriter::Write(std::string_view bytes) {
  if (failed_) co_return false;
  if (!is_writing_) {
    const std::optional<size_t> taken = caller_->WriteAtOnce(bytes);
    failed_ = !taken.has_value();
    if (failed_ || *taken == bytes.size()) co_return !failed_;
    bytes.remove_prefix(*taken);
  }
  waiting_.Append(bytes);
  if (!is_writing_) {
    is_writing_ = true;
    asio::co_spawn(io_, WriteWaiting(shared_from_this()), asio::detached);
  }
  held_->NoteWaiting(static_cast<int64_t>(Waiting()), Now());
  while (!failed_ && MustWait()) {
    progress_.expires_after(kRoomCheck);
    co_await WaitForProgress();
  }
  progress_.expires_at(TimePoint::max());
  co_return !failed_;
}

bool AnswerWriter::MustWait() {
  if (Waiting() > kMostWaitingBytes) return true;
  return Waiting() > 0 && held_->IsFull(Now());
}

asio::awaitable<bool> AnswerWriter::Finish() {
  while (!failed_ && is_writing_) co_await WaitForProgress();
  co_return !failed_;
}

asio::awaitable<void> AnswerWriter::WaitForProgress() {
  boost::system::error_code ignored;
  co_await progress_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> AnswerWriter::WriteWaiting(std::shared_ptr<AnswerWriter> self) {
  while (!self->failed_ && !self->waiting_.IsEmpty()) co_await self->WriteNext();
  self->is_writing_ = false;
  self->progress_.cancel();
}

asio::awaitable<void> AnswerWriter::WriteNext() {
  writing_ = waiting_.TakeFirst();
  written_ = 0;
  while (!failed_ && written_ < writing_.size()) {
    const size_t taken = co_await caller_->WriteSome(std::string_view(writing_).substr(written_));
    written_ += taken;
    failed_ = taken == 0;
    held_->NoteTaken(static_cast<int64_t>(Waiting()), Now());
    progress_.cancel();
  }
  writing_ = {};
  written_ = 0;
}

std::string ChunkText(std::string_view bytes, bool last) {
  std::string framed;
  framed.reserve(bytes.size() + 32);
  if (!bytes.empty()) {
    framed += fmt::format("{:x}\r\n", bytes.size());
    framed.append(bytes).append("\r\n");
  }
  if (last) framed += "0\r\n\r\n";
  return framed;
}

}  // namespace cartsail
