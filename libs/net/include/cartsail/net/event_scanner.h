// Finds where server-sent events end in a byte stream, however it is cut into pieces, without
// keeping them. Pure.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cartsail/net/line_splitter.h"

namespace cartsail {

class EventScanner {
 public:
  // Reads on. Returns how many of `bytes` come before the last place in them that is inside no
  // event; 0: there is none.
  size_t Scan(std::string_view bytes);

  // A field of an event, or a line, was begun and not ended: a stream that ends here was broken
  // off. Comments and blank lines between events belong to none.
  bool IsInsideEvent() const { return has_fields_ || lines_.HasPartialLine(); }

  // At least one event has come whole.
  bool HasEvent() const { return has_event_; }

  // The `id` of the last whole event that had one.
  const std::string& LastId() const { return last_id_; }

  // A whole event with data has come since, or before the first one: a stream that is taken up
  // behind the last id would repeat it.
  bool HasEventBeyondLastId() const { return has_event_beyond_id_; }

 private:
  // Of a line that comes in pieces no more is kept: ids are shorter.
  static constexpr size_t kMostPartialLine = 1024;

  void TakeLine(std::string_view line);
  void EndEvent();

  LineSplitter lines_{kMostPartialLine};
  std::string id_;           // of the event under way
  bool has_fields_ = false;  // of the event under way
  bool has_data_ = false;    // of the event under way
  bool has_event_ = false;
  bool has_event_beyond_id_ = false;
  std::string last_id_;
};

}  // namespace cartsail
