// What of a stream's bytes may be passed on. Of a stream that can go on at another back end only
// whole events are, so that nothing of another back end comes inside an event. Pure.
#pragma once

#include <string>
#include <string_view>

#include "cartsail/net/event_scanner.h"

namespace cartsail {

class EventSplitter {
 public:
  enum class Passing {
    kAsItComes,
    kWholeEvents,
  };

  // Larger events are passed on as they come: memory for many streams stays bounded.
  static constexpr size_t kMaxHeldBytes = size_t{64} << 10;

  explicit EventSplitter(Passing passing) : passing_(passing) {}

  // Takes bytes and returns those that may be passed on, unchanged.
  std::string Feed(std::string bytes);

  // Only the back end that sent what was passed on can continue it: part of an event was, or a
  // whole one without an id that it could be asked for.
  bool IsBoundToBackend() const { return passed_part_ || scanner_.HasEventBeyondLastId(); }

  const EventScanner& Scanner() const { return scanner_; }

 private:
  std::string Hold(std::string_view bytes);

  Passing passing_;
  EventScanner scanner_;
  std::string held_;  // of the event under way
  bool passed_part_ = false;
};

}  // namespace cartsail
