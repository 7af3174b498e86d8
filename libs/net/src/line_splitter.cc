#include "cartsail/net/line_splitter.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace cartsail {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

// The place of `byte`, or the size.
size_t FindByte(std::string_view bytes, char byte) {
  const void* found = std::memchr(bytes.data(), byte, bytes.size());
  if (found == nullptr) return bytes.size();
  return static_cast<size_t>(static_cast<const char*>(found) - bytes.data());
}

// The first CR or LF, or the size.
size_t FindLineEnd(std::string_view bytes) {
  return FindByte(bytes.substr(0, FindByte(bytes, '\n')), '\r');
}

}  // namespace

std::optional<std::string_view> LineSplitter::Take(std::string_view* bytes) {
  if (std::exchange(after_return_, false) && bytes->front() == '\n') {
    bytes->remove_prefix(1);
    return std::nullopt;
  }
  const size_t end = FindLineEnd(*bytes);
  const std::string_view part = bytes->substr(0, end);
  if (end == bytes->size()) {
    bytes->remove_prefix(end);
    Keep(part);
    return std::nullopt;
  }
  after_return_ = (*bytes)[end] == '\r';
  bytes->remove_prefix(end + 1);
  if (!has_partial_) return WithoutMark(part);
  Keep(part);
  has_partial_ = false;
  whole_ = std::exchange(partial_, {});
  return WithoutMark(whole_);
}

bool LineSplitter::HasPartialLine() const {
  const bool is_mark_alone = is_first_ && partial_ == kByteOrderMark;
  return has_partial_ && !is_mark_alone;
}

void LineSplitter::Keep(std::string_view part) {
  has_partial_ = true;
  const size_t room = most_kept_ - std::min(most_kept_, partial_.size());
  partial_ += part.substr(0, std::min(room, part.size()));
}

std::string_view LineSplitter::WithoutMark(std::string_view line) {
  const bool is_first = std::exchange(is_first_, false);
  if (is_first && line.starts_with(kByteOrderMark)) line.remove_prefix(kByteOrderMark.size());
  return line;
}

}  // namespace cartsail
