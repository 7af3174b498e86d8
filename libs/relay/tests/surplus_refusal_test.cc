// Guards against bytes after an answer that pass for the answer to the next request on the same
// connection: that would run twice, be said not to have run, or get the answer to another one.
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr char kRefusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nCartsail-Not-Run: full\r\nContent-Length: 0\r\n\r\n";

Test(surplus_refusal, is_not_taken_for_the_answer_to_the_next_request) {
  const StubBackend* self = nullptr;
  bool has_refused = false;
  StubBackend backend([&](const std::string& request) {
    if (!std::exchange(has_refused, true)) return StubAnswer{{kRefusal}};
    StubAnswer answer;
    const bool is_same_connection = self->Connections() == 1;
    if (is_same_connection) answer.pieces.emplace_back(kRefusal);
    answer.pieces.push_back(SignedAnswer(request, "ran"));
    return answer;
  });
  self = &backend;
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(MakeRequest("POST", "/once/a", "r1", "body"));
  cr_assert(client.ReadAnswer().starts_with("HTTP/1.1 503"));
  client.Send(MakeRequest("POST", "/once/b", "r2", "body"));
  const std::string answer = client.ReadAnswer();
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert(backend.Requests().size() == 2);
}

// The surplus bytes look like the answer to the next request, "r2".
Test(surplus_refusal, bytes_after_an_answer_without_a_body_are_no_answer) {
  const std::string surplus =
      "HTTP/1.1 200 OK\r\nCartsail-Request-Id: r2\r\nCartsail-Signature: s1\r\n"
      "Content-Length: 7\r\n\r\nsurplus";
  for (const std::string head :
       {"204 No Content\r\n", "304 Not Modified\r\n", "200 OK\r\nContent-Length: 7\r\n"}) {
    const bool is_head = head.starts_with("200");
    StubBackend backend([&](const std::string& request) {
      const std::string id = HeaderOf(request, "Cartsail-Request-Id");
      if (id == "r2") return StubAnswer{{SignedAnswer(request, "second")}};
      return StubAnswer{{"HTTP/1.1 " + head + "Cartsail-Request-Id: " + id +
                         "\r\nCartsail-Signature: s1\r\n\r\n" + surplus}};
    });
    RelayFixture relay;
    relay.AddBackend("b1", "s", backend.Address());
    relay.Start();
    Client first(relay.Port());
    const std::string method = is_head ? "HEAD" : "GET";
    first.Send(MakeRequest(method, "/safe/a", "r1", "", "Connection: close\r\n"));
    const std::string never = "\x01";
    const std::string answer = first.ReadUntil(never);
    cr_assert(answer.ends_with("\r\n\r\n"), "%s", answer.c_str());
    Client second(relay.Port());
    second.Send(MakeRequest("POST", "/once/b", "r2", "body"));
    cr_assert(second.ReadAnswer().ends_with("\r\n\r\nsecond"));
  }
}

}  // namespace
}  // namespace cartsail::testing
