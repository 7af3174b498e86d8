// The beginning of an answer, kept until all of it has come, so that another back end may still
// take its place. It counts among what the node holds. One thread.
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
  explicit BufferedBody(std::shared_ptr<RequestMemory> held) : held_(std::move(held)) {}
  ~BufferedBody() { held_->Free(reserved_); }
  BufferedBody(const BufferedBody&) = delete;
  BufferedBody& operator=(const BufferedBody&) = delete;

  // Keeps the piece. False when no more is to be kept: there is no room for it, or it is large.
  bool Append(std::string_view piece, TimePoint now) {
    bytes_.Append(piece);
    const auto bytes = static_cast<int64_t>(piece.size());
    if (held_->IsFull(now) || !held_->ReserveMore(bytes, now)) return false;
    reserved_ += bytes;
    return bytes_.Size() <= kMostBytes;
  }

  const ByteBlocks& Bytes() const { return bytes_; }

  // The first block, to be passed on; there has to be one.
  std::string TakeFirst() {
    std::string first = bytes_.TakeFirst();
    const int64_t freed = std::min(reserved_, static_cast<int64_t>(first.size()));
    held_->Free(freed);
    reserved_ -= freed;
    return first;
  }

 private:
  static constexpr size_t kMostBytes = size_t{256} << 10;  // larger answers are passed on in pieces

  std::shared_ptr<RequestMemory> held_;
  ByteBlocks bytes_;
  int64_t reserved_ = 0;
};

}  // namespace cartsail
