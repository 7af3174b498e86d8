// A byte queue in blocks of bounded size. A single string would take up to twice the memory while
// it grows, and would fragment the heap.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace cartsail {

class ByteBlocks {
 public:
  static constexpr size_t kMaxBlockBytes = size_t{16} << 10;

  void Append(std::string_view bytes) {
    size_ += bytes.size();
    while (!bytes.empty()) {
      if (blocks_.empty() || blocks_.back().size() == kMaxBlockBytes) blocks_.emplace_back();
      std::string& last = blocks_.back();
      const std::string_view piece = bytes.substr(0, kMaxBlockBytes - last.size());
      // A block that is appended to again is likely to fill up: reserve its full size at once.
      if (last.capacity() < last.size() + piece.size() && !last.empty()) {
        last.reserve(kMaxBlockBytes);
      }
      last.append(piece);
      bytes.remove_prefix(piece.size());
    }
  }

  // Removes and returns the first block. The queue must not be empty.
  std::string TakeFirst() {
    std::string first = std::move(blocks_.front());
    blocks_.pop_front();
    size_ -= first.size();
    return first;
  }

  const std::deque<std::string>& Blocks() const { return blocks_; }
  size_t Size() const { return size_; }
  bool IsEmpty() const { return size_ == 0; }

 private:
  std::deque<std::string> blocks_;
  size_t size_ = 0;
};

}  // namespace cartsail
