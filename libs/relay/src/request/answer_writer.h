// Writes one answer to its caller while more of it is read: a caller that reads slowly does not
// hold up the back end, which cuts off an answer that is left unread, until it is far behind. One
// thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "cartsail/base/timer.h"
#include "request/byte_blocks.h"
#include "request/caller_connection.h"
#include "request/memory_budget.h"

namespace cartsail {

class AnswerWriter : public std::enable_shared_from_this<AnswerWriter> {
 public:
  // `held` outlives the writing: Finish() is to be awaited, or the connection closed.
  AnswerWriter(boost::asio::io_context& io, std::shared_ptr<CallerConnection> caller,
               std::shared_ptr<RequestMemory> held);

  // Takes the bytes; waits while the caller is far behind. False when the caller has gone or takes
  // nothing for long.
  boost::asio::awaitable<bool> Write(std::string_view bytes);

  // Waits until all is written. False as above.
  boost::asio::awaitable<bool> Finish();

  // True while bytes wait for the caller.
  bool IsBehind() const { return Waiting() > 0; }

 private:
  static boost::asio::awaitable<void> WriteWaiting(std::shared_ptr<AnswerWriter> self);
  boost::asio::awaitable<void> WriteNext();
  boost::asio::awaitable<void> WaitForProgress();
  bool MustWait();
  size_t Waiting() const { return waiting_.Size() + (writing_.size() - written_); }

  boost::asio::io_context& io_;
  std::shared_ptr<CallerConnection> caller_;
  std::shared_ptr<RequestMemory> held_;
  ByteBlocks waiting_;  // after `writing_`
  std::string writing_;
  size_t written_ = 0;  // of `writing_`
  bool is_writing_ = false;
  bool failed_ = false;
  Timer progress_;  // cancelled when the caller has taken something
};

// One chunk of a chunked body; `last` ends the body (and `bytes` may be empty).
std::string ChunkText(std::string_view bytes, bool last);

}  // namespace cartsail
