// An engine's entry is replaced in place by one of another version while the engine works on the
// first event of a stream. Which version writes the event is then unknown; the answer goes on all
// the same, and only at this engine.
#include <string>
#include <thread>

#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr int kFirstEventMs = 300;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

StubAnswer TwoEvents(const std::string& request) {
  StubAnswer answer{{SignedAnswer(request, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 200,
                                  "Content-Type: text/event-stream\r\n")}};
  answer.delay_ms = kFirstEventMs;
  return answer;
}

Test(replaced_entry, an_answer_under_way_is_passed_on, .timeout = 60) {
  StubBackend backend(TwoEvents);
  RelayFixture relay;
  relay.BePatient();
  relay.AddBackend("b1", "s", backend.Address(), "z1", "v1");
  relay.Start();
  Client client(relay.Port());
  client.Send(MakePatientRequest("POST", "/resume/a", "r1", "x"));
  while (backend.Requests().empty()) std::this_thread::sleep_for(milliseconds(5));
  relay.OnRelayThread([&] { relay.AddBackend("b1", "s", backend.Address(), "z1", "v2"); });
  const std::string answer = client.ReadAnswer(kLongPatience);
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert(Has(answer, "data: a") && Has(answer, "data: b"), "%s", answer.c_str());
  cr_assert(backend.Requests().size() == 1);
}

// Nobody may take it up: the version that wrote its events is not known.
Test(replaced_entry, the_stream_is_bound_to_no_version, .timeout = 60) {
  StubBackend backend(TwoEvents);
  RelayFixture relay;
  relay.BePatient();
  relay.AddBackend("b1", "s", backend.Address(), "z1", "v1");
  relay.Start();
  Client client(relay.Port());
  client.Send(MakePatientRequest("POST", "/resume/a", "r1", "x"));
  while (backend.Requests().empty()) std::this_thread::sleep_for(milliseconds(5));
  relay.OnRelayThread([&] { relay.AddBackend("b1", "s", backend.Address(), "z1", "v2"); });
  (void)client.ReadAnswer(kLongPatience);
  client.Send(
      MakeRequest("POST", "/resume/a", "r2", "x", "Cartsail-Resumes: r1\r\nLast-Event-ID: 1\r\n"));
  const std::string answer = client.ReadAnswer(kLongPatience);
  cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
  cr_assert(Has(answer, "stream_version_unknown"), "%s", answer.c_str());
  cr_assert(backend.Requests().size() == 1);
}

// As when the engine's lease lapses while the engine is paused.
Test(replaced_entry, an_answer_outlives_the_entry_of_its_engine, .timeout = 60) {
  StubBackend backend(TwoEvents);
  RelayFixture relay;
  relay.BePatient();
  relay.AddBackend("b1", "s", backend.Address(), "z1", "v1");
  relay.Start();
  Client client(relay.Port());
  client.Send(MakePatientRequest("POST", "/resume/a", "r1", "x"));
  while (backend.Requests().empty()) std::this_thread::sleep_for(milliseconds(5));
  relay.OnRelayThread([&] { relay.Context().dispatcher.Registry().Remove("b1"); });
  const std::string answer = client.ReadAnswer(kLongPatience);
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert(Has(answer, "data: a") && Has(answer, "data: b"), "%s", answer.c_str());
  cr_assert(backend.Requests().size() == 1);
}

}  // namespace
}  // namespace cartsail::testing
