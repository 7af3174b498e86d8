// How the body of an HTTP answer ended: the one place that says so, for all that read answers.
// Pure.
#pragma once

#include <string_view>

namespace cartsail {

// What tells where a body ends.
enum class BodyFraming {
  kNone,        // no body: HEAD, 204, 304
  kLength,      // Content-Length
  kChunked,     // a last chunk
  kConnection,  // nothing but the end of the connection
};

// How the reading of a body came to its end.
enum class ReadingEnd {
  kFraming,        // the length or the last chunk was reached
  kPeerClosed,     // the server's side of the connection ended in order
  kReset,          // the connection broke
  kInsideRequest,  // the server's side ended in order before the server had taken the whole request
  kTimeout,        // the reader's time was over
  kOwnClose,       // the reader gave it up
  kLostOnTheWay,   // what passes the bytes on ended, and said nothing of the server
};

// What the bytes of a body say of their own completeness.
enum class ContentEnd {
  kOpaque,         // they say nothing
  kNoEvent,        // of a stream of events, none has come
  kBetweenEvents,  // a stream of events, and none is under way
  kInsideEvent,
};

// Whether anything of the body is missing.
enum class BodyEnd {
  kWhole,
  kBrokenOff,
  // Only the end of its connection ended it, which a server's crash may have done too. HTTP/1.1
  // takes it for whole.
  kUnknown,
};

struct BodyEvidence {
  BodyFraming framing = BodyFraming::kNone;
  ReadingEnd reading = ReadingEnd::kFraming;
  ContentEnd content = ContentEnd::kOpaque;
};

// The verdict on all that is known of a body.
BodyEnd JudgeBodyEnd(const BodyEvidence& evidence);

std::string_view BodyFramingName(BodyFraming framing);
std::string_view ReadingEndName(ReadingEnd end);
std::string_view ContentEndName(ContentEnd end);

}  // namespace cartsail
