// A machine is suspended while requests are under way and connections wait. The steady clock does
// not count that time: deadlines then ended later by the whole suspension, so that callers whose
// time was over got no final answer, and back ends worked on for nobody.
#include "testing/suspension.h"

#include <atomic>
#include <chrono>
#include <thread>

#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr int kSilenceMs = 8000;  // longer than any time that is waited for here
constexpr auto kSuspension = std::chrono::seconds(5);
constexpr auto kUnderWay = std::chrono::milliseconds(200);
// From the end of the suspension until what was due by then is done.
constexpr auto kPrompt = std::chrono::milliseconds(700);

using Clock = std::chrono::steady_clock;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

void SuspendSoon(std::thread* thread) {
  *thread = std::thread([] {
    std::this_thread::sleep_for(kUnderWay);
    Suspend(kSuspension);
  });
}

Test(suspension, a_request_whose_time_is_over_by_then_is_answered_at_once) {
  StubBackend backend([](const std::string&) {
    StubAnswer answer;
    answer.delay_ms = kSilenceMs;
    return answer;
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  std::thread suspending;
  const auto begun = Clock::now();
  SuspendSoon(&suspending);
  Client client(relay.Port());
  client.Send(MakeRequest("POST", "/once/a", "r1", "x"));  // its route's time is 4 s
  const std::string answer = client.ReadAnswer();
  const auto took = Clock::now() - begun;
  suspending.join();
  cr_assert(Has(answer, "HTTP/1.1 504 "), "%s", answer.c_str());
  cr_assert(took < kUnderWay + kPrompt, "%ld ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
}

Test(suspension, a_stream_whose_pause_is_over_by_then_ends) {
  StubBackend backend([](const std::string& request) {
    StubAnswer answer;
    answer.pieces = {
        "HTTP/1.1 200 OK\r\nCartsail-Request-Id: " + HeaderOf(request, "Cartsail-Request-Id") +
            "\r\nCartsail-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
            "a\r\nid: 1\ndata\n\r\n",
        "0\r\n\r\n"};
    answer.pause_ms = kSilenceMs;
    return answer;
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  std::thread suspending;
  const auto begun = Clock::now();
  SuspendSoon(&suspending);
  Client client(relay.Port());
  client.Send(MakeRequest("POST", "/stream/a", "r1", "x"));
  (void)client.ReadAnswer();
  const auto took = Clock::now() - begun;
  suspending.join();
  cr_assert(took < kUnderWay + kPrompt, "%ld ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
}

// Half of a request's head has come, and its time is over.
Test(suspension, a_caller_that_sends_no_more_is_let_go) {
  RelayFixture relay;
  relay.Document().limits.header_timeout = seconds(3);
  relay.Start();
  std::thread suspending;
  SuspendSoon(&suspending);
  Client client(relay.Port());
  client.Send("POST /once/a HTTP/1.1\r\nHost: h\r\n");
  const bool closes = client.ClosesWithin(1500);
  suspending.join();
  cr_assert(closes);
}

}  // namespace
}  // namespace cartsail::testing
