#include "cartsail/net/event_scanner.h"

#include <optional>
#include <utility>

#include "cartsail/net/sse.h"

namespace cartsail {

size_t EventScanner::Scan(std::string_view bytes) {
  std::string_view rest = bytes;
  size_t boundary = 0;
  while (!rest.empty()) {
    const std::optional<std::string_view> line = lines_.Take(&rest);
    if (line.has_value()) TakeLine(*line);
    if (lines_.IsAtLineStart() && !has_fields_) boundary = bytes.size() - rest.size();
  }
  return boundary;
}

void EventScanner::TakeLine(std::string_view line) {
  if (line.empty()) {
    if (has_fields_) EndEvent();
    return;
  }
  if (IsSseComment(line)) return;
  has_fields_ = true;
  const SseField field = SseFieldOf(line);
  if (field.name == kSseData) has_data_ = true;
  if (field.name == kSseId) id_ = std::string(field.value);
}

void EventScanner::EndEvent() {
  has_event_ = true;
  has_fields_ = false;
  const bool has_data = std::exchange(has_data_, false);
  has_event_beyond_id_ = id_.empty() && (has_event_beyond_id_ || has_data);
  if (!id_.empty()) last_id_ = std::exchange(id_, {});
}

}  // namespace cartsail
