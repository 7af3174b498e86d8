// Finds where server-sent events end in a byte stream, however it is cut into pieces. Lines end in
// LF, CRLF or CR; a byte order mark may come first. Pure.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cartsail {

class EventScanner {
 public:
  // Reads on. Returns how many of `bytes` come before the last place in them that is inside no
  // event; 0: there is none.
  size_t Scan(std::string_view bytes);

  // A field of an event, or a line, was begun and not ended: a stream that ends here was broken
  // off. Comments and blank lines between events belong to none.
  bool IsInsideEvent() const;

  // At least one event has come whole.
  bool HasEvent() const { return has_event_; }

  // The `id` of the last whole event that had one.
  const std::string& LastId() const { return last_id_; }

 private:
  // Takes what comes of a line before its end.
  void BeginLine(std::string_view part);
  // Takes the rest of a line without its end. True when no event is under way behind it.
  bool EndLine(std::string_view rest);
  bool TakeLine(std::string_view line);
  void TakeId(std::string_view line);

  std::string partial_line_;       // its first bytes, where it came in several pieces
  bool has_partial_line_ = false;  // bytes of a line came, and its end did not
  bool is_first_line_ = true;
  bool after_return_ = false;  // a line ended in CR; an LF that follows belongs to the same end
  bool has_fields_ = false;    // of the event under way
  bool has_event_ = false;
  std::string id_;  // of the event under way
  std::string last_id_;
};

}  // namespace cartsail
