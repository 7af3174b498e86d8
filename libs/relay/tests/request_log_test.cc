// The log line of a request tells what its caller got, not what was meant to be sent.
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "cartsail/base/counters.h"
#include "support/log_capture.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A failure of the back end that is passed on stood in the log as an answer with status 200.
Test(request_log, a_failure_that_was_passed_on_is_logged_with_its_status) {
  StubBackend backend(
      [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "", 500)}}; });
  LogCapture log;
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(MakeRequest("POST", "/once/a", "r1", "x"));
  cr_assert(Has(client.ReadAnswer(), "HTTP/1.1 500 "));
  const std::string line = log.LineOf("request");
  cr_assert(Has(line, " result=failed_answer "), "%s", line.c_str());
  cr_assert(Has(line, " status=500 "), "%s", line.c_str());
  cr_assert(GlobalCounters().requests_completed_total.Get() == 0);
  cr_assert(GlobalCounters().requests_failed_answer_total.Get() == 1);
}

// Without them nobody can tell from the log whether a stream went on at another version.
Test(request_log, tells_the_version_of_the_back_end_and_which_stream_is_taken_up) {
  StubBackend backend([](const std::string& request) {
    const std::string event = "id: 3\ndata: x\n\n";
    return StubAnswer{{SignedAnswer(request, event, 200, "Content-Type: text/event-stream\r\n")}};
  });
  LogCapture log;
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address(), "z1", "v7");
  relay.Start();
  Client client(relay.Port());
  client.Send(MakeRequest("POST", "/resume/a", "r1", "x"));
  cr_assert(Has(client.ReadAnswer(), "HTTP/1.1 200 "));
  client.Send(
      MakeRequest("POST", "/resume/a", "r2", "x", "Cartsail-Resumes: r1\r\nLast-Event-ID: 2\r\n"));
  cr_assert(Has(client.ReadAnswer(), "HTTP/1.1 200 "));
  const std::string line = log.LineOf("request request=r2");
  for (const char* part : {" version=v7 ", " resumes=r1 ", " last_event=3 ", " stream_version=v7 ",
                           " version_known_by=own_record "}) {
    cr_assert(Has(line, part), "%s in %s", part, line.c_str());
  }
}

Test(request_log, an_answer_keeps_the_status_of_its_back_end) {
  StubBackend backend(
      [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "made", 201)}}; });
  LogCapture log;
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(MakeRequest("POST", "/once/a", "r1", "x"));
  cr_assert(Has(client.ReadAnswer(), "HTTP/1.1 201 "));
  const std::string line = log.LineOf("request");
  cr_assert(Has(line, " result=answered "), "%s", line.c_str());
  cr_assert(Has(line, " status=201 "), "%s", line.c_str());
  cr_assert(GlobalCounters().requests_completed_total.Get() == 1);
}

std::string FieldOf(const std::string& line, const std::string& name) {
  const size_t start = line.find(" " + name + "=") + name.size() + 2;
  return line.substr(start, line.find(' ', start) - start);
}

// Callers try again under a new id: without the fingerprint no line tells that it is the same.
Test(request_log, a_request_that_comes_again_has_the_same_fingerprint) {
  StubBackend backend(
      [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "made")}}; });
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  std::vector<std::string> fingerprints;
  for (const auto& [id, body] :
       {std::pair("r1", "x"), std::pair("r2", "x"), std::pair("r3", "y")}) {
    LogCapture log;
    Client client(relay.Port());
    client.Send(MakeRequest("POST", "/once/a", id, body));
    (void)client.ReadAnswer();
    fingerprints.push_back(FieldOf(log.LineOf("request"), "fingerprint"));
  }
  cr_assert(fingerprints[0].size() == 16, "%s", fingerprints[0].c_str());
  cr_assert(fingerprints[0] == fingerprints[1]);
  cr_assert(fingerprints[0] != fingerprints[2]);
}

// Whether a back end that turned a request away asked to back off could be told from no line.
Test(request_log, a_refusal_of_a_back_end_is_logged_as_it_was_told) {
  StubBackend backend([](const std::string& request) {
    return StubAnswer{{SignedAnswer(request, "", 503,
                                    "Cartsail-Not-Run: 1\r\nRetry-After: 2.5\r\n"
                                    "Cartsail-Leaving: 1\r\n")}};
  });
  LogCapture log;
  RelayFixture relay;
  relay.BePatient();
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(MakePatientRequest("POST", "/once/a", "r1", "x"));
  (void)client.ReadAnswer(kLongPatience);
  const std::string line = log.LineOf("attempt");
  cr_assert(Has(line, " status=503 retry_after=2.5 leaving=true "), "%s", line.c_str());
}

// From no line could be told how long a back end had been silent and whether others were as well.
Test(request_log, a_failed_attempt_tells_how_silent_its_back_end_and_the_others_were) {
  std::promise<void> is_waiting;
  const StubBackend::Handler handler = [&is_waiting](const std::string& request) {
    if (HeaderOf(request, "Cartsail-Request-Id") == "r-waits") {
      is_waiting.set_value();
      StubAnswer never{{SignedAnswer(request, "")}};
      never.delay_ms = static_cast<int>(ToMillis(kLongPatience));
      return never;
    }
    const std::string answer =
        SignedAnswer(request, "data: x\n\ndata: y\n\n", 200, "Content-Type: text/event-stream\r\n");
    StubAnswer broken{{answer.substr(0, answer.size() - 9), ""}};
    broken.pause_ms = 500;
    broken.close_after = true;
    return broken;
  };
  StubBackend first(handler);
  StubBackend second(handler);
  LogCapture log;
  RelayFixture relay;
  relay.BePatient();
  relay.AddBackend("b1", "s", first.Address());
  relay.AddBackend("b2", "s", second.Address());
  relay.Start();
  Client waiting(relay.Port());
  waiting.Send(MakePatientRequest("POST", "/stream/a", "r-waits", "x"));
  is_waiting.get_future().wait();
  Client cut(relay.Port());
  cut.Send(MakePatientRequest("POST", "/stream/a", "r-cut", "x"));
  (void)cut.ReadAnswer(kLongPatience);
  cr_assert(first.Requests().size() == 1 && second.Requests().size() == 1);
  const std::string line = log.LineOf("attempt request=r-cut");
  cr_assert(Has(line, " outcome=cut "), "%s", line.c_str());
  // The pause begins when the stub sends, the silence when the node has received.
  cr_assert(std::stoi(FieldOf(line, "silent_ms")) >= 250, "%s", line.c_str());
  cr_assert(Has(line, " backend_speaks=false others_silent=1 others_speaking=0 path_cut=false "),
            "%s", line.c_str());
}

}  // namespace
}  // namespace cartsail::testing
