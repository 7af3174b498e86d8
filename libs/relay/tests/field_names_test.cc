// A head in which the name of a field holds a blank or a control byte is no answer, wherever in the
// message the field stands.
#include <string>
#include <vector>

#include "support/head_play.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr char kStatusLine[] = "HTTP/1.1 200 OK\r\n";
constexpr char kHeaders[] = "{id}\r\nCartsail-Signature: s1\r\nContent-Type: text/event-stream\r\n";
constexpr char kEvent[] = "id: 1\ndata: bytes\n\n";

const std::vector<std::string>& BrokenLines() {
  static const std::vector<std::string> lines = {"X Broken: 1\r\n",
                                                 "X-Broken : 1\r\n",
                                                 " X-Broken: 1\r\n",
                                                 "\tX-Broken: 1\r\n",
                                                 "X-Broken\t: 1\r\n",
                                                 std::string("X\0Broken: 1\r\n", 13),
                                                 "X\x01"
                                                 "Broken: 1\r\n",
                                                 "X\x7f"
                                                 "Broken: 1\r\n",
                                                 "X\rBroken: 1\r\n",
                                                 "X-Broken\r\n",
                                                 ": 1\r\n",
                                                 "Content-Length : 5\r\n",
                                                 "Transfer-Encoding : chunked\r\n",
                                                 "Content Length: 5\r\n"};
  return lines;
}

std::string Shown(const std::string& line) {
  std::string shown;
  for (const char byte : line) shown += byte < ' ' || byte > '~' ? '?' : byte;
  return shown;
}

void ExpectUnseen(const std::string& seen, const std::string& which) {
  cr_expect(seen.empty(), "%s: %s", which.c_str(), seen.c_str());
}

void ExpectNoAnswer(const std::string& answer, const std::string& which) {
  ExpectUnseen(SeenOnAnyRoute(answer), which);
}

Test(field_names, with_a_blank_or_a_control_byte_first_in_a_head, .timeout = 100) {
  for (const std::string& line : BrokenLines()) {
    const std::string head = kStatusLine + line + kHeaders + "Content-Length: 19\r\n\r\n";
    ExpectNoAnswer(head + kEvent, Shown(line));
  }
}

Test(field_names, with_a_blank_or_a_control_byte_inside_a_head, .timeout = 100) {
  for (const std::string& line : BrokenLines()) {
    // A line that begins with a blank goes on with the value of the one before.
    if (line[0] == ' ' || line[0] == '\t') continue;
    const std::string head =
        std::string(kStatusLine) + kHeaders + line + "Connection: close\r\n\r\n";
    ExpectNoAnswer(head + kEvent, Shown(line));
  }
}

Test(field_names, with_a_blank_or_a_control_byte_in_a_trailer, .timeout = 100) {
  for (const std::string& line : BrokenLines()) {
    if (line[0] == ' ' || line[0] == '\t') continue;
    const std::string answer = std::string(kStatusLine) + kHeaders +
                               "Transfer-Encoding: chunked\r\n\r\n13\r\n" + kEvent + "\r\n0\r\n" +
                               line + "\r\n";
    // A stream's events go out before the trailer comes.
    ExpectUnseen(SeenOn("/once/a", false, answer), Shown(line));
    ExpectUnseen(SeenOn("/safe/a", true, answer), Shown(line));
  }
}

Test(field_names, lengths_that_contradict_each_other, .timeout = 100) {
  const std::string head = std::string(kStatusLine) + kHeaders;
  for (const std::string lengths :
       {"Content-Length: 5\r\nContent-Length: 19\r\n", "Content-Length: 5, 19\r\n",
        "Content-Length: 19\r\nTransfer-Encoding: chunked\r\n", "Content-Length: -1\r\n",
        "Content-Length: 19x\r\n", "Content-Length: 99999999999999999999999\r\n"}) {
    ExpectNoAnswer(head + lengths + "\r\n" + kEvent, lengths);
  }
}

}  // namespace
}  // namespace cartsail::testing
