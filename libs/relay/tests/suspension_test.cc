// A machine is suspended while requests are under way and connections wait. The steady clock does
// not count that time: deadlines then ended later by the whole suspension, so that callers whose
// time was over got no final answer, and back ends worked on for nobody.
#include "testing/suspension.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <thread>

#include "duties/duty_holder.h"
#include "support/lease_store.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr int kSilenceMs = 100000;  // longer than any time that is waited for here
constexpr auto kSuspension = std::chrono::seconds(60);
constexpr Duration kDue = seconds(30);  // what is due then is due within the suspension
// From the end of the suspension until what was due by then is done. A process that is held up by
// its machine may need seconds; by the steady clock it would take 30.
constexpr auto kPrompt = std::chrono::seconds(8);

using Clock = std::chrono::steady_clock;

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// All routes, and what callers may take to send a request, last for kDue.
void SetTimes(RoutingDocument* document) {
  for (RouteRule& route : document->routes) route.timeout = kDue;
  document->limits.header_timeout = kDue;
}

std::string LongRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nCartsail-Request-Id: r1\r\nCartsail-Time-Left-Ms: 40000\r\n"
         "Content-Length: 1\r\n\r\nx";
}

void WaitUntil(const std::function<bool()>& condition) {
  const auto end = Clock::now() + std::chrono::seconds(20);
  while (!condition() && Clock::now() < end) std::this_thread::sleep_for(milliseconds(2));
  cr_assert(condition());
}

Test(suspension, a_request_whose_time_is_over_by_then_is_answered_at_once) {
  StubBackend backend([](const std::string&) {
    StubAnswer answer;
    answer.delay_ms = kSilenceMs;
    return answer;
  });
  RelayFixture relay;
  SetTimes(&relay.Document());
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(LongRequest("/once/a"));
  WaitUntil([&backend] { return !backend.Requests().empty(); });
  Suspend(kSuspension);
  const auto resumed = Clock::now();
  const std::string answer = client.ReadAnswer();
  cr_assert(Has(answer, "HTTP/1.1 504 "), "%s", answer.c_str());
  cr_assert(Clock::now() - resumed < kPrompt);
}

Test(suspension, a_stream_whose_time_is_over_by_then_ends) {
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
  SetTimes(&relay.Document());
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(LongRequest("/stream/a"));
  cr_assert(Has(client.ReadUntil("data"), "data"));
  Suspend(kSuspension);
  cr_assert(client.ClosesWithin(std::chrono::milliseconds(kPrompt).count()));
}

// Half of a request's head has come, and its time is over.
Test(suspension, a_caller_that_sends_no_more_is_let_go) {
  RelayFixture relay;
  SetTimes(&relay.Document());
  relay.Document().limits.idle_timeout = kDue;  // where the bytes have not been read by then
  relay.Start();
  Client client(relay.Port());
  client.Send("POST /once/a HTTP/1.1\r\nHost: h\r\n");
  const auto has_come = [&relay] {
    size_t open = 0;
    relay.OnRelayThread([&relay, &open] { open = relay.Server().OpenConnections(); });
    return open == 1;
  };
  WaitUntil(has_come);
  Suspend(kSuspension);
  cr_assert(client.ClosesWithin(std::chrono::milliseconds(kPrompt).count()));
}

// Another node may hold the duty by then: this one may not act before it has asked.
Test(suspension, a_lease_that_ran_out_meanwhile_is_not_held) {
  const LeaseTiming terms{seconds(3), milliseconds(300)};
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
