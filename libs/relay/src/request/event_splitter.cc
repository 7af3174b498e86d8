#include "request/event_splitter.h"

#include <utility>

namespace cartsail {
namespace {

constexpr std::string_view kIdField = "id:";

// The end of the last blank line in `text`, or 0.
size_t EndOfWholeEvents(std::string_view text) {
  const size_t plain = text.rfind("\n\n");
  const size_t with_returns = text.rfind("\n\r\n");
  size_t end = 0;
  if (plain != std::string_view::npos) end = plain + 2;
  if (with_returns != std::string_view::npos && with_returns + 3 > end) end = with_returns + 3;
  return end;
}

std::string_view TrimmedValue(std::string_view line) {
  std::string_view value = line.substr(kIdField.size());
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (!value.empty() && value.back() == '\r') value.remove_suffix(1);
  return value;
}

// The value of the last `id` line, or `fallback`.
std::string LastIdIn(std::string_view events, std::string fallback) {
  while (!events.empty()) {
    const size_t end = events.find('\n');
    const std::string_view line = events.substr(0, end);
    if (line.substr(0, kIdField.size()) == kIdField) fallback = std::string(TrimmedValue(line));
    if (end == std::string_view::npos) break;
    events.remove_prefix(end + 1);
  }
  return fallback;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  held_ += bytes;
  const size_t end = EndOfWholeEvents(held_);
  if (end == 0) return {};
  std::string whole = held_.substr(0, end);
  held_.erase(0, end);
  last_id_ = LastIdIn(whole, std::move(last_id_));
  return whole;
}

std::string EventSplitter::TakePartial() { return std::exchange(held_, {}); }

}  // namespace cartsail
