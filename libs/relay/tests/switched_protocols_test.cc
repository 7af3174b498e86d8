// An answer that switches to another protocol, for which nobody asked, is no answer, and neither is
// what looks like an answer behind it.
#include <string>

#include "support/head_play.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr char kAnswer[] =
    "{id}\r\nCartsail-Signature: s1\r\nContent-Type: text/event-stream\r\n"
    "Content-Length: 19\r\n\r\nid: 1\ndata: bytes\n\n";

void ExpectNoAnswer(const std::string& answer, const std::string& which) {
  const std::string seen = SeenOnAnyRoute(answer);
  cr_expect(seen.empty(), "%s: %s", which.c_str(), seen.c_str());
}

Test(switched_protocols, bytes_of_another_protocol_are_no_answer, .timeout = 60) {
  ExpectNoAnswer(std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n"
                             "Connection: upgrade\r\n\r\nHTTP/1.1 200 OK\r\n") +
                     kAnswer,
                 "");
}

}  // namespace
}  // namespace cartsail::testing
