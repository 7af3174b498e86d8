#include "request/event_splitter.h"

#include <random>
#include <string>

#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

using Passing = EventSplitter::Passing;

// Ends in the middle of an event; all three line ends, and a CR that a cut may part from its LF.
const std::string kWhole =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\ndata: c\n\nid: 4\rdata: d\r\r";
const std::string kPartial = "id: 5\nda";

std::string FeedInPieces(EventSplitter& splitter, const std::string& stream, size_t size) {
  std::string passed;
  for (size_t at = 0; at < stream.size(); at += size)
    passed += splitter.Feed(stream.substr(at, size));
  return passed;
}

Test(event_splitter, bytes_are_cut_at_whole_events_whatever_the_pieces) {
  for (size_t size = 1; size < kWhole.size() + kPartial.size(); ++size) {
    EventSplitter splitter(Passing::kWholeEvents);
    cr_assert(FeedInPieces(splitter, kWhole + kPartial, size) == kWhole);
    cr_assert(splitter.Scanner().LastId() == "4");
    cr_assert(splitter.Scanner().IsInsideEvent() && !splitter.IsBoundToBackend());
    cr_assert(splitter.Feed("ta: e\n\n") == kPartial + "ta: e\n\n");
  }
}

Test(event_splitter, an_event_goes_out_with_the_piece_that_ends_it) {
  for (const std::string end : {"\n\n", "\r\n\r\n", "\r\r"}) {
    EventSplitter splitter(Passing::kWholeEvents);
    cr_assert(splitter.Feed("id: 1" + end) == "id: 1" + end);
    cr_assert(splitter.Feed("id: 2").empty());
    cr_assert(splitter.Feed(end) == "id: 2" + end);
  }
}

Test(event_splitter, what_is_passed_on_as_it_comes_is_unchanged_and_its_end_is_known) {
  const std::string stream = kWhole + kPartial;
  for (size_t size = 1; size < stream.size(); ++size) {
    EventSplitter splitter(Passing::kAsItComes);
    cr_assert(FeedInPieces(splitter, stream, size) == stream);
    cr_assert(splitter.Scanner().IsInsideEvent() && splitter.IsBoundToBackend());
  }
}

// More than one event is larger than what is held, and ordinary ones come between them.
Test(event_splitter, an_event_larger_than_the_bound_binds_the_stream_until_it_ends) {
  std::mt19937 random(63);
  std::string stream;
  for (int i = 1; i <= 6; ++i) {
    const size_t lines = i % 2 == 0 ? 1 : EventSplitter::kMaxHeldBytes / 90;
    stream += "id: " + std::to_string(i) + "\n";
    for (size_t line = 0; line < lines; ++line) stream += "data: " + std::string(100, 'x') + "\n";
    stream += "\n";
  }
  EventSplitter splitter(Passing::kWholeEvents);
  std::string passed;
  bool was_bound = false;
  for (size_t at = 0; at < stream.size();) {
    const size_t size = 1 + random() % 8192;
    passed += splitter.Feed(stream.substr(at, size));
    at = std::min(at + size, stream.size());
    cr_assert(at - passed.size() <= EventSplitter::kMaxHeldBytes);
    const bool inside_passed = passed.size() > 1 && !passed.ends_with("\n\n");
    cr_assert(splitter.IsBoundToBackend() == inside_passed);
    was_bound = was_bound || inside_passed;
  }
  cr_assert(passed == stream && was_bound && !splitter.IsBoundToBackend());
}

Test(event_splitter, an_event_without_an_id_binds_the_stream_until_one_with_an_id) {
  EventSplitter splitter(Passing::kWholeEvents);
  (void)splitter.Feed(": comment\n\nretry: 10\n\nid: 1\ndata: a\n\n");
  cr_assert(!splitter.IsBoundToBackend());
  (void)splitter.Feed("data: b\n\n");
  cr_assert(splitter.IsBoundToBackend());
  (void)splitter.Feed("id: 3\ndata: c\n\n");
  cr_assert(!splitter.IsBoundToBackend());
}

}  // namespace
}  // namespace cartsail::testing
