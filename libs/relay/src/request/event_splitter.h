// Decides which bytes of an event stream may be forwarded. For a stream that can continue at
// another back end these are whole events only, so that bytes of another back end never end up
// inside an event. No I/O.
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

  // Larger events are forwarded as they arrive, which bounds the memory of many streams.
  static constexpr size_t kMaxHeldBytes = size_t{64} << 10;

  explicit EventSplitter(Passing passing) : passing_(passing) {}

  // Takes the next bytes of the stream and returns those that may be forwarded now, unchanged.
  std::string Feed(std::string bytes);

  // True if only the back end that sent the forwarded bytes can continue the stream: part of an
  // event was forwarded, or a whole event that comes after the last event id.
  bool IsBoundToBackend() const {
    return forwarded_partial_event_ || scanner_.HasEventBeyondLastId();
  }

  const EventScanner& Scanner() const { return scanner_; }

 private:
  std::string Hold(std::string_view bytes);

  Passing passing_;
  EventScanner scanner_;
  std::string held_;  // start of an incomplete event, not forwarded yet
  bool forwarded_partial_event_ = false;
};

}  // namespace cartsail
