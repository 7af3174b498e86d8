#include "cartsail/net/sse.h"

#include <utility>

namespace cartsail {

bool IsSseComment(std::string_view line) { return line.starts_with(':'); }

SseField SseFieldOf(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return {line, {}};
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  return {line.substr(0, colon), value};
}

void SseParser::Feed(std::string_view chunk) {
  while (!chunk.empty()) {
    const std::optional<std::string_view> line = lines_.Take(&chunk);
    if (line.has_value()) TakeLine(*line);
  }
}

void SseParser::TakeLine(std::string_view line) {
  if (line.empty()) {
    if (has_fields_) whole_.push_back(std::exchange(event_, {}));
    has_fields_ = false;
    has_data_ = false;
    return;
  }
  if (IsSseComment(line)) return;
  has_fields_ = true;
  const SseField field = SseFieldOf(line);
  if (field.name == kSseId) event_.id = field.value;
  if (field.name == kSseName) event_.name = field.value;
  if (field.name != kSseData) return;
  if (std::exchange(has_data_, true)) event_.data.push_back('\n');
  event_.data += field.value;
}

std::optional<SseEvent> SseParser::Next() {
  if (whole_.empty()) return std::nullopt;
  SseEvent event = std::move(whole_.front());
  whole_.pop_front();
  return event;
}

std::string FormatSse(const SseEvent& event) {
  std::string text;
  text.reserve(event.id.size() + event.name.size() + event.data.size() + 24);
  if (!event.id.empty()) {
    text += "id: ";
    text += event.id;
    text += '\n';
  }
  if (!event.name.empty()) {
    text += "event: ";
    text += event.name;
    text += '\n';
  }
  text += "data: ";
  text += event.data;
  text += "\n\n";
  return text;
}

}  // namespace cartsail
