#include "cartsail/net/event_scanner.h"

#include <random>
#include <string>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

// What is known of a stream up to one of its bytes.
struct Expected {
  size_t boundary = 0;  // the last place that is inside no event
  bool inside = false;
  bool has_event = false;
  std::string last_id;
};

// The plain way: the whole stream at once, line by line, up to its first `bytes`.
Expected ReadPlainly(const std::string& stream, size_t bytes) {
  Expected expected;
  std::string line;
  std::string id;
  bool has_fields = false;
  size_t at = stream.compare(0, 3, "\xEF\xBB\xBF") == 0 && bytes >= 3 ? 3 : 0;
  size_t line_start = at;
  while (at < bytes) {
    const char byte = stream[at++];
    if (byte != '\r' && byte != '\n') {
      line += byte;
      continue;
    }
    if (byte == '\r' && at < bytes && stream[at] == '\n') ++at;
    const bool is_blank = line.empty();
    if (is_blank && has_fields) {
      expected.has_event = true;
      has_fields = false;
      if (!id.empty()) expected.last_id = id;
      id.clear();
    }
    if (!is_blank && line[0] != ':') {
      has_fields = true;
      if (line == "id") id.clear();
      if (line.rfind("id:", 0) == 0) id = line.substr(line.size() > 3 && line[3] == ' ' ? 4 : 3);
    }
    line.clear();
    line_start = at;
    if (!has_fields) expected.boundary = at;
  }
  expected.inside = has_fields || line_start < bytes;
  return expected;
}

std::string RandomStream(std::mt19937& random) {
  const std::vector<std::string> ends = {"\n", "\r\n", "\r"};
  const std::vector<std::string> lines = {"id: 7",    "id:8", "data: x", "data",     ": comment",
                                          "event: a", "id",   "idle: 3", "retry: 5", ""};
  std::string stream = random() % 4 == 0 ? "\xEF\xBB\xBF" : "";
  const size_t count = random() % 30;
  for (size_t i = 0; i < count; ++i) {
    const std::string& line = random() % 3 == 0 ? lines.back() : lines[random() % lines.size()];
    stream += line + ends[random() % ends.size()];
  }
  if (random() % 2 == 0) stream += "data: cut";
  return stream;
}

void CheckAgainst(const EventScanner& scanner, const Expected& expected) {
  cr_assert(scanner.IsInsideEvent() == expected.inside);
  cr_assert(scanner.HasEvent() == expected.has_event);
  cr_assert(scanner.LastId() == expected.last_id);
}

Test(event_scanner, tells_the_same_however_a_stream_is_cut_into_pieces) {
  std::mt19937 random(63);
  for (int round = 0; round < 3000; ++round) {
    const std::string stream = RandomStream(random);
    EventScanner scanner;
    size_t at = 0;
    size_t boundary = 0;
    while (at < stream.size()) {
      const size_t size = std::min<size_t>(1 + random() % 9, stream.size() - at);
      const size_t to_boundary = scanner.Scan(std::string_view(stream).substr(at, size));
      if (to_boundary > 0) boundary = at + to_boundary;
      at += size;
      const Expected expected = ReadPlainly(stream, at);
      CheckAgainst(scanner, expected);
      cr_assert(boundary == expected.boundary, "%zu, not %zu", boundary, expected.boundary);
    }
  }
}

Test(event_scanner, a_stream_that_ends_at_any_of_its_bytes_is_told_to_be_inside_an_event_or_not) {
  std::mt19937 random(64);
  for (int round = 0; round < 300; ++round) {
    const std::string stream = RandomStream(random);
    for (size_t bytes = 0; bytes <= stream.size(); ++bytes) {
      EventScanner scanner;
      (void)scanner.Scan(std::string_view(stream).substr(0, bytes));
      CheckAgainst(scanner, ReadPlainly(stream, bytes));
    }
  }
}

Test(event_scanner, lines_of_any_length_take_little_memory_and_leave_the_id_alone) {
  EventScanner scanner;
  (void)scanner.Scan("id: 1\n\n");
  for (int i = 0; i < 10000; ++i) (void)scanner.Scan("data: a long line without an end ");
  cr_assert(scanner.IsInsideEvent());
  cr_assert(scanner.Scan("\n\n") == 2);
  cr_assert(!scanner.IsInsideEvent() && scanner.LastId() == "1");
}

Test(event_scanner, a_comment_and_a_blank_line_between_events_belong_to_none) {
  EventScanner scanner;
  cr_assert(scanner.Scan(": hello\n") == 8 && !scanner.IsInsideEvent() && !scanner.HasEvent());
  cr_assert(scanner.Scan("\r") == 1 && scanner.Scan("\n") == 1);
  cr_assert(scanner.Scan(": hel") == 0 && scanner.IsInsideEvent());
  cr_assert(scanner.Scan("lo\ndata: x\n: inside\n") == 3 && scanner.IsInsideEvent());
}

}  // namespace
}  // namespace cartsail
