#include "cartsail/net/event_scanner.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace cartsail {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kIdField = "id";
// Of a line that comes in pieces no more is kept: ids are shorter.
constexpr size_t kMostPartialLine = 1024;

// The first CR or LF, or npos.
size_t FindLineEnd(std::string_view bytes) {
  const void* feed = std::memchr(bytes.data(), '\n', bytes.size());
  const size_t to_feed = feed == nullptr
                             ? bytes.size()
                             : static_cast<size_t>(static_cast<const char*>(feed) - bytes.data());
  const void* back = std::memchr(bytes.data(), '\r', to_feed);
  if (back != nullptr) return static_cast<size_t>(static_cast<const char*>(back) - bytes.data());
  return feed == nullptr ? std::string_view::npos : to_feed;
}

}  // namespace

size_t EventScanner::Scan(std::string_view bytes) {
  size_t at = 0;
  size_t boundary = 0;
  while (at < bytes.size()) {
    if (std::exchange(after_return_, false) && bytes[at] == '\n') {
      ++at;
      if (!IsInsideEvent()) boundary = at;
      continue;
    }
    const std::string_view rest = bytes.substr(at);
    const size_t end = FindLineEnd(rest);
    if (end == std::string_view::npos) {
      BeginLine(rest);
      break;
    }
    at += end + 1;
    after_return_ = rest[end] == '\r';
    if (EndLine(rest.substr(0, end))) boundary = at;
  }
  return boundary;
}

bool EventScanner::IsInsideEvent() const {
  const bool is_mark_alone = is_first_line_ && partial_line_ == kByteOrderMark;
  return has_fields_ || (has_partial_line_ && !is_mark_alone);
}

void EventScanner::BeginLine(std::string_view part) {
  has_partial_line_ = true;
  const size_t room = kMostPartialLine - partial_line_.size();
  partial_line_ += part.substr(0, std::min(room, part.size()));
}

bool EventScanner::EndLine(std::string_view rest) {
  if (!has_partial_line_) return TakeLine(rest);
  BeginLine(rest);
  has_partial_line_ = false;
  const bool is_between = TakeLine(partial_line_);
  partial_line_.clear();
  return is_between;
}

bool EventScanner::TakeLine(std::string_view line) {
  const bool is_first = std::exchange(is_first_line_, false);
  if (is_first && line.starts_with(kByteOrderMark)) line.remove_prefix(kByteOrderMark.size());
  if (line.empty()) {
    if (!has_fields_) return true;
    has_fields_ = false;
    has_event_ = true;
    if (!id_.empty()) last_id_ = std::exchange(id_, {});
    return true;
  }
  const bool is_comment = line.front() == ':';
  if (is_comment) return !has_fields_;
  has_fields_ = true;
  TakeId(line);
  return false;
}

void EventScanner::TakeId(std::string_view line) {
  if (!line.starts_with(kIdField)) return;
  line.remove_prefix(kIdField.size());
  if (line.empty() || line.front() != ':') return;
  line.remove_prefix(1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  id_ = std::string(line);
}

}  // namespace cartsail
