// Buffers the beginning of an answer until the answer is complete, so that the request can still be
// retried at another back end. Counts against the node's MemoryBudget. Single-threaded.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "cartsail/base/clock.h"
#include "request/byte_blocks.h"
#include "request/memory_budget.h"

namespace cartsail {

class BufferedBody {
 public:
  explicit BufferedBody(std::shared_ptr<RequestMemory> memory) : memory_(std::move(memory)) {}
  ~BufferedBody() { memory_->Free(reserved_); }
  BufferedBody(const BufferedBody&) = delete;
  BufferedBody& operator=(const BufferedBody&) = delete;

  // Stores `piece`. Returns false when buffering must stop: the memory budget is short, or the body
  // exceeds kMaxBytes.
  bool Append(std::string_view piece, TimePoint now) {
    bytes_.Append(piece);
    const auto bytes = static_cast<int64_t>(piece.size());
    if (memory_->IsFull(now) || !memory_->ReserveMore(bytes, now)) return false;
    reserved_ += bytes;
    return bytes_.Size() <= kMaxBytes;
  }

  const ByteBlocks& Bytes() const { return bytes_; }

  // Removes and returns the first block and frees its memory. The body must not be empty.
  std::string TakeFirst() {
    std::string first = bytes_.TakeFirst();
    const int64_t freed = std::min(reserved_, static_cast<int64_t>(first.size()));
    memory_->Free(freed);
    reserved_ -= freed;
    return first;
  }

 private:
  // Larger answers are forwarded in pieces.
  static constexpr size_t kMaxBytes = size_t{256} << 10;

  std::shared_ptr<RequestMemory> memory_;
  ByteBlocks bytes_;
  int64_t reserved_ = 0;
};

}  // namespace cartsail
