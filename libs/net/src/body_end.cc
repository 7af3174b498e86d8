#include "cartsail/net/body_end.h"

namespace cartsail {

BodyEnd JudgeBodyEnd(const BodyEvidence& evidence) {
  const bool by_connection = evidence.framing == BodyFraming::kConnection;
  const ReadingEnd end_in_order = by_connection ? ReadingEnd::kPeerClosed : ReadingEnd::kFraming;
  if (evidence.reading != end_in_order) return BodyEnd::kBrokenOff;
  // A server that crashes may still end its framing in order.
  if (evidence.content == ContentEnd::kInsideEvent) return BodyEnd::kBrokenOff;
  if (!by_connection) return BodyEnd::kWhole;
  // A request for a stream that got none was not answered.
  return evidence.content == ContentEnd::kNoEvent ? BodyEnd::kBrokenOff : BodyEnd::kUnknown;
}

std::string_view BodyFramingName(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kNone:
      return "none";
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kConnection:
      return "connection";
  }
  return "unknown";
}

std::string_view ReadingEndName(ReadingEnd end) {
  switch (end) {
    case ReadingEnd::kFraming:
      return "framing";
    case ReadingEnd::kPeerClosed:
      return "closed";
    case ReadingEnd::kReset:
      return "reset";
    case ReadingEnd::kInsideRequest:
      return "inside_request";
    case ReadingEnd::kTimeout:
      return "timeout";
    case ReadingEnd::kOwnClose:
      return "own_close";
    case ReadingEnd::kLostOnTheWay:
      return "lost_on_the_way";
  }
  return "unknown";
}

std::string_view ContentEndName(ContentEnd end) {
  switch (end) {
    case ContentEnd::kOpaque:
      return "opaque";
    case ContentEnd::kNoEvent:
      return "no_event";
    case ContentEnd::kBetweenEvents:
      return "between_events";
    case ContentEnd::kInsideEvent:
      return "inside_event";
  }
  return "unknown";
}

}  // namespace cartsail
