// Server-sent events: splitting a byte stream into events and writing one.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cartsail {

struct SseEvent {
  std::string id;
  std::string name;
  std::string data;
};

// Feeds on arbitrary chunks and yields whole events.
class SseParser {
 public:
  void Feed(std::string_view chunk);

  // The next whole event, if one has arrived.
  std::optional<SseEvent> Next();

  // Bytes held that are not yet a whole event.
  size_t Pending() const { return buffer_.size() - start_; }

 private:
  std::string buffer_;
  size_t start_ = 0;
};

// The event's text form, ending in a blank line.
std::string FormatSse(const SseEvent& event);

}  // namespace cartsail
