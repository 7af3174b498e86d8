// An answer with a status that HTTP does not know never reaches the caller as an answer, with the
// engine's signature or without.
#include <atomic>
#include <string>

#include "support/caller_view.h"
#include "support/head_play.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

std::string AnswerWith(const std::string& status, const std::string& more_headers) {
  return "HTTP/1.1 " + status + " OK\r\n" + kIdHeader +
         "Cartsail-Signature: s1\r\nContent-Type: text/event-stream\r\n" + more_headers +
         "\r\nid: 1\ndata: of the broken answer\n\n";
}

void ExpectNoAnswer(const std::string& answer, const std::string& which) {
  const std::string seen = SeenOnAnyRoute(answer);
  cr_expect(seen.empty(), "%s: %s", which.c_str(), seen.c_str());
}

Test(answer_status, outside_100_to_599_is_no_answer, .timeout = 100) {
  for (const std::string status : {"000", "001", "099", "600", "700", "999"}) {
    ExpectNoAnswer(AnswerWith(status, "Connection: close\r\n"), status);
    ExpectNoAnswer(AnswerWith(status, "Content-Length: 34\r\n"), status);
  }
}

Test(answer_status, that_is_no_number_is_no_answer, .timeout = 100) {
  for (const std::string status : {"20x", "2000", "20", "-20", "0x1"}) {
    ExpectNoAnswer(AnswerWith(status, "Connection: close\r\n"), status);
  }
}

// The first back end is silent for a while, and the one that is asked meanwhile sends `status`.
CallerView AskBesideSilence(const std::string& status) {
  std::atomic<int> asked{0};
  const auto handler = [&](const std::string& request) {
    StubAnswer answer;
    if (asked++ == 0) {
      answer.delay_ms = 1500;
      answer.pieces = {SignedAnswer(request, "late")};
    } else {
      answer.pieces = {WithIdOf(request, AnswerWith(status, "Content-Length: 34\r\n"))};
    }
    return answer;
  };
  StubBackend first(handler);
  StubBackend second(handler);
  RelayFixture relay;
  relay.AddBackend("b1", "s", first.Address());
  relay.AddBackend("b2", "s", second.Address());
  relay.BePatient();
  relay.Start();
  Client client(relay.Port());
  client.Send(MakePatientRequest("POST", "/safe/a", "r1", "x"));
  const CallerView view = ReadAsCaller(client.ReadAnswer());
  cr_expect(asked == 2, "%d asked", asked.load());
  return view;
}

Test(answer_status, that_is_none_does_not_end_the_attempt_at_a_silent_back_end, .timeout = 100) {
  for (const std::string status : {"000", "099", "101", "600", "999", "20x", "2000"}) {
    const CallerView view = AskBesideSilence(status);
    cr_expect(view.status == 200 && view.body == "late", "%s: %d", status.c_str(), view.status);
  }
}

// Sends `request` to a relay all of whose back ends, or only the first to be asked, send 000.
CallerView AskBrokenBackends(const std::string& request, bool all, int expected_asked) {
  std::atomic<int> asked{0};
  const auto handler = [&asked, all](const std::string& received) {
    const bool is_broken = asked++ == 0 || all;
    const std::string broken = WithIdOf(received, AnswerWith("000", "Content-Length: 34\r\n"));
    const std::string type = "Content-Type: text/event-stream\r\n";
    return StubAnswer{
        {is_broken ? broken : SignedAnswer(received, "id: 4\ndata: on\n\n", 200, type)}};
  };
  StubBackend first(handler);
  StubBackend second(handler);
  RelayFixture relay;
  relay.AddBackend("b1", "s", first.Address());
  relay.AddBackend("b2", "s", second.Address());
  relay.BePatient();
  relay.Start();
  const CallerView view = AskAsCaller(relay.Port(), request);
  cr_expect(asked == expected_asked, "%d asked", asked.load());
  return view;
}

Test(answer_status, of_a_retry_is_judged_too, .timeout = 60) {
  for (const std::string path : {"/safe/a", "/resume/a"}) {
    const std::string request = MakeRequest("POST", path, "r1", "x", "Connection: close\r\n");
    cr_expect(AskBrokenBackends(request, true, 2).status == 502, "%s", path.c_str());
  }
}

Test(answer_status, of_a_stream_that_is_taken_up_is_judged_too, .timeout = 60) {
  const std::string request =
      MakeRequest("POST", "/resume/a", "r1", "x", "Last-Event-ID: 3\r\nConnection: close\r\n");
  const CallerView view = AskBrokenBackends(request, false, 2);
  cr_expect(view.status == 200 && view.whole && view.body == "id: 4\ndata: on\n\n");
}

}  // namespace
}  // namespace cartsail::testing
