// Writes one answer to its caller and buffers what the caller has not read yet. A slow caller
// therefore blocks reading from the back end only once it is far behind; back ends break off
// answers that are left unread. Single-threaded.
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
  // Await Finish() or close the connection before the writer is dropped: a write in progress keeps
  // the writer, and with it `memory`, alive.
  AnswerWriter(boost::asio::io_context& io, std::shared_ptr<CallerConnection> caller,
               std::shared_ptr<RequestMemory> memory);

  // Sends or buffers `bytes`; waits while the caller is far behind. Returns false if the caller has
  // disconnected or a write has timed out.
  boost::asio::awaitable<bool> Write(std::string_view bytes);

  // Waits until everything is written. Returns false as Write() does.
  boost::asio::awaitable<bool> Finish();

  // True while buffered bytes wait for the caller.
  bool IsBehind() const { return PendingBytes() > 0; }

 private:
  static boost::asio::awaitable<void> WritePending(std::shared_ptr<AnswerWriter> self);
  boost::asio::awaitable<void> WriteNext();
  boost::asio::awaitable<void> AwaitProgress();
  bool MustThrottle();
  size_t PendingBytes() const { return pending_.Size() + (writing_.size() - written_); }

  boost::asio::io_context& io_;
  std::shared_ptr<CallerConnection> caller_;
  std::shared_ptr<RequestMemory> memory_;
  ByteBlocks pending_;   // to be written after `writing_`
  std::string writing_;  // the block being written
  size_t written_ = 0;   // bytes of `writing_` that are sent
  bool is_writing_ = false;
  bool failed_ = false;
  Timer progress_;  // cancelled whenever the caller reads something
};

// Encodes `bytes` as one chunk of a chunked body; no bytes: no chunk. `last` appends the final
// chunk, which ends the body.
std::string ChunkText(std::string_view bytes, bool last);

}  // namespace cartsail
