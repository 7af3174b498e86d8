#include "cartsail/net/sse.h"

namespace cartsail {
namespace {

constexpr size_t kCompactAfter = 4096;

std::string_view ValueOf(std::string_view line, std::string_view field) {
  std::string_view value = line.substr(field.size() + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  return value;
}

bool IsField(std::string_view line, std::string_view field) {
  return line.size() > field.size() && line.substr(0, field.size()) == field &&
         line[field.size()] == ':';
}

SseEvent ParseBlock(std::string_view block) {
  SseEvent event;
  bool has_data = false;
  while (!block.empty()) {
    const size_t end = block.find('\n');
    std::string_view line = block.substr(0, end);
    block = end == std::string_view::npos ? std::string_view() : block.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (IsField(line, "id")) event.id = ValueOf(line, "id");
    if (IsField(line, "event")) event.name = ValueOf(line, "event");
    if (IsField(line, "data")) {
      if (has_data) event.data.push_back('\n');
      event.data += ValueOf(line, "data");
      has_data = true;
    }
  }
  return event;
}

}  // namespace

void SseParser::Feed(std::string_view chunk) {
  if (start_ > kCompactAfter) {
    buffer_.erase(0, start_);
    start_ = 0;
  }
  buffer_ += chunk;
}

std::optional<SseEvent> SseParser::Next() {
  const size_t end = buffer_.find("\n\n", start_);
  if (end == std::string::npos) return std::nullopt;
  const SseEvent event = ParseBlock(std::string_view(buffer_).substr(start_, end - start_));
  start_ = end + 2;
  if (start_ == buffer_.size()) {
    buffer_.clear();
    start_ = 0;
  }
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
