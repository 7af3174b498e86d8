// A machine is suspended while requests are under way and connections wait. The steady clock does
// not count that time: deadlines then ended later by the whole suspension, so that callers whose
// time was over got no final answer, and back ends worked on for nobody.
#include "testing/suspension.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <thread>

#include "duties/duty_holder.h"
#include "support/lease_store.h"
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

// Another node may hold the duty by then: this one may not act before it has asked.
Test(suspension, a_lease_that_ran_out_meanwhile_is_not_held) {
  const LeaseTerms terms{seconds(3), milliseconds(300)};
  boost::asio::io_context io;
  LeaseStore store(io);
  const auto first = []() -> std::optional<size_t> { return 0; };
  DutyHolder holder(io, store, "duty/test", terms, {"n1", true, first});
  holder.Start();
  const auto end = Clock::now() + std::chrono::seconds(10);
  while (!holder.MayAct().has_value() && Clock::now() < end) {
    io.restart();
    io.run_for(milliseconds(10));
  }
  cr_assert(holder.MayAct().has_value());
  Suspend(terms.lease);
  cr_assert(!holder.MayAct().has_value());
}

// A route may have been added meanwhile: what the node knows is too old to refuse it for good.
Test(suspension, what_was_known_before_is_old_afterwards) {
  RelayFixture relay;
  relay.AddBackend("b1", "s", "127.0.0.1:1");
  relay.Start();
  const auto answer_to_unknown_route = [&relay] {
    Client client(relay.Port());
    client.Send(MakeRequest("POST", "/unknown/a", "r1", "x"));
    return client.ReadAnswer();
  };
  cr_assert(Has(answer_to_unknown_route(), "HTTP/1.1 404 "));
  Suspend(kSuspension);
  cr_assert(Has(answer_to_unknown_route(), "HTTP/1.1 503 "));
}

}  // namespace
}  // namespace cartsail::testing
