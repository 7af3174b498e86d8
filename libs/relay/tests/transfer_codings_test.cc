// An answer in a transfer coding that this node does not decode is no answer: the header that names
// the coding applies to one connection, so that the caller would get coded bytes as the body.
#include <string>

#include "support/head_play.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\n{id}\r\nCartsail-Signature: s1\r\nContent-Type: text/event-stream\r\n";
constexpr char kChunks[] = "13\r\nid: 1\ndata: bytes\n\n\r\n0\r\n\r\n";

void ExpectNoAnswer(const std::string& answer, const std::string& which) {
  const std::string seen = SeenOnAnyRoute(answer);
  cr_expect(seen.empty(), "%s: %s", which.c_str(), seen.c_str());
}

Test(transfer_codings, other_than_chunked_are_no_answer, .timeout = 100) {
  for (const std::string coding :
       {"gzip", "deflate", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked",
        "xchunked", "chunkedx", "chunked;q=1", "", ","}) {
    const std::string header = "Transfer-Encoding: " + coding + "\r\n\r\n";
    ExpectNoAnswer(kHead + header + kChunks, coding);
  }
  const std::string twice = "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n";
  ExpectNoAnswer(kHead + twice + kChunks, "");
}

}  // namespace
}  // namespace cartsail::testing
