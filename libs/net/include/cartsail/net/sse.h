// Server-sent events: splitting a byte stream into events and writing one.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "cartsail/net/line_splitter.h"

namespace cartsail {

inline constexpr std::string_view kSseId = "id";
inline constexpr std::string_view kSseName = "event";
inline constexpr std::string_view kSseData = "data";

// One line of an event.
struct SseField {
  std::string_view name;
  std::string_view value;
};

bool IsSseComment(std::string_view line);

// Of a line that is neither blank nor a comment.
SseField SseFieldOf(std::string_view line);

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

  // An event was begun and is not whole.
  bool IsInsideEvent() const { return has_fields_ || lines_.HasPartialLine(); }

 private:
  void TakeLine(std::string_view line);

  LineSplitter lines_;
  SseEvent event_;  // under way
  bool has_fields_ = false;
  bool has_data_ = false;
  std::deque<SseEvent> whole_;
};

// The event's text form, ending in a blank line.
std::string FormatSse(const SseEvent& event);

}  // namespace cartsail
