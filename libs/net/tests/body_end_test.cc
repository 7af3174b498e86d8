#include "cartsail/net/body_end.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr BodyFraming kFramings[] = {BodyFraming::kNone, BodyFraming::kLength,
                                     BodyFraming::kChunked, BodyFraming::kConnection};
constexpr ReadingEnd kReadingEnds[] = {ReadingEnd::kFraming,      ReadingEnd::kPeerClosed,
                                       ReadingEnd::kReset,        ReadingEnd::kTimeout,
                                       ReadingEnd::kOwnClose,     ReadingEnd::kLostOnTheWay,
                                       ReadingEnd::kInsideRequest};
constexpr ContentEnd kContentEnds[] = {ContentEnd::kOpaque, ContentEnd::kNoEvent,
                                       ContentEnd::kBetweenEvents, ContentEnd::kInsideEvent};

Test(body_end, only_a_framing_that_was_reached_makes_a_body_whole) {
  for (const BodyFraming framing : kFramings) {
    for (const ReadingEnd reading : kReadingEnds) {
      for (const ContentEnd content : kContentEnds) {
        const BodyEnd end = JudgeBodyEnd({framing, reading, content});
        const bool reached = reading == ReadingEnd::kFraming;
        const bool is_whole = reached && content != ContentEnd::kInsideEvent;
        if (framing == BodyFraming::kConnection) {
          cr_expect(end != BodyEnd::kWhole);
        } else {
          cr_expect((end == BodyEnd::kWhole) == is_whole);
        }
      }
    }
  }
}

Test(body_end, the_end_of_the_connection_alone_leaves_it_open_unless_the_content_tells) {
  const auto judge = [](ReadingEnd reading, ContentEnd content) {
    return JudgeBodyEnd({BodyFraming::kConnection, reading, content});
  };
  cr_expect(judge(ReadingEnd::kPeerClosed, ContentEnd::kOpaque) == BodyEnd::kUnknown);
  cr_expect(judge(ReadingEnd::kPeerClosed, ContentEnd::kBetweenEvents) == BodyEnd::kUnknown);
  cr_expect(judge(ReadingEnd::kPeerClosed, ContentEnd::kInsideEvent) == BodyEnd::kBrokenOff);
  cr_expect(judge(ReadingEnd::kPeerClosed, ContentEnd::kNoEvent) == BodyEnd::kBrokenOff);
  for (const ReadingEnd reading : {ReadingEnd::kReset, ReadingEnd::kTimeout, ReadingEnd::kOwnClose,
                                   ReadingEnd::kLostOnTheWay, ReadingEnd::kInsideRequest}) {
    for (const ContentEnd content : kContentEnds) {
      cr_expect(judge(reading, content) == BodyEnd::kBrokenOff);
    }
  }
}

}  // namespace
}  // namespace cartsail
