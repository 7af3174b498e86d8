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

// Unsent bytes of one answer above which reading from the back end pauses. Streams of generated
// text are far smaller; a large body is read further once its caller has read some of it.
constexpr size_t kMaxPendingBytes = size_t{256} << 10;
// Interval at which a writer checks again, while the memory budget is short, whether others have
// freed memory.
constexpr Duration kMemoryRecheckInterval = milliseconds(50);

}  // namespace

AnswerWriter::AnswerWriter(asio::io_context& io, std::shared_ptr<CallerConnection> caller,
                           std::shared_ptr<RequestMemory> memory)
    : io_(io), caller_(std::move(caller)), memory_(std::move(memory)), progress_(io) {
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
  pending_.Append(bytes);
  if (!is_writing_) {
    is_writing_ = true;
    asio::co_spawn(io_, WritePending(shared_from_this()), asio::detached);
  }
  memory_->NoteWaiting(static_cast<int64_t>(PendingBytes()), Now());
  while (!failed_ && MustThrottle()) {
    progress_.expires_after(kMemoryRecheckInterval);
    co_await AwaitProgress();
  }
  progress_.expires_at(TimePoint::max());
  co_return !failed_;
}

bool AnswerWriter::MustThrottle() {
  if (PendingBytes() > kMaxPendingBytes) return true;
  return PendingBytes() > 0 && memory_->IsFull(Now());
}

asio::awaitable<bool> AnswerWriter::Finish() {
  while (!failed_ && is_writing_) co_await AwaitProgress();
  co_return !failed_;
}

asio::awaitable<void> AnswerWriter::AwaitProgress() {
  boost::system::error_code ignored;
  co_await progress_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> AnswerWriter::WritePending(std::shared_ptr<AnswerWriter> self) {
  while (!self->failed_ && !self->pending_.IsEmpty()) co_await self->WriteNext();
  self->is_writing_ = false;
  self->progress_.cancel();
}

asio::awaitable<void> AnswerWriter::WriteNext() {
  writing_ = pending_.TakeFirst();
  written_ = 0;
  while (!failed_ && written_ < writing_.size()) {
    const size_t taken = co_await caller_->WriteSome(std::string_view(writing_).substr(written_));
    written_ += taken;
    failed_ = taken == 0;
    memory_->NoteTaken(static_cast<int64_t>(PendingBytes()), Now());
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
