// A relay before back ends that ask it to back off or leave: by no way does it send them more, and
// it tells callers the truth.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "cartsail/base/counters.h"
#include "support/log_capture.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"
#include "testing/suspension.h"

namespace cartsail::testing {
namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

StubAnswer TurnedAway(const std::string& request, const std::string& more_headers) {
  return StubAnswer{{SignedAnswer(request, "", 503, "Cartsail-Not-Run: 1\r\n" + more_headers)}};
}

std::string Ask(RelayFixture& relay, const std::string& id, const std::string& path = "/safe/a") {
  Client client(relay.Port());
  client.Send(MakeRequest("POST", path, id, "x"));
  return client.ReadAnswer();
}

// Turns all away, as a back end does that is full.
class BusyBackend {
 public:
  explicit BusyBackend(std::string headers)
      : server_([headers = std::move(headers)](const std::string& request) {
          return TurnedAway(request, headers);
        }) {}

  std::string Address() const { return server_.Address(); }
  size_t Arrivals() { return server_.Requests().size(); }

 private:
  StubBackend server_;
};

Test(backend_backoff, is_kept_and_the_caller_told_until_when) {
  BusyBackend backend("Retry-After: 0.8\r\n");
  LogCapture log;
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  for (int i = 0; i < 5; ++i) {
    const std::string answer = Ask(relay, "r" + std::to_string(i), "/once/a");
    cr_assert(Has(answer, "HTTP/1.1 503 ") && Has(answer, "\"not_run\""), "%s", answer.c_str());
    const double told = std::stod(HeaderOf(answer, "Retry-After"));
    cr_assert(told > 0.3 && told <= 0.8, "%f", told);
  }
  cr_assert(backend.Arrivals() == 1, "%zu", backend.Arrivals());
  cr_assert(GlobalCounters().backend_backoffs_total.Get() == 1);
  cr_assert(GlobalCounters().backoff_refusals_total.Get() == 5);
  cr_assert(
      Has(log.LineOf("backend_backoff"), " backend=b1 status=503 retry_after=0.8 backoff_ms=800"));
  std::this_thread::sleep_for(milliseconds(850));
  (void)Ask(relay, "later");
  cr_assert(backend.Arrivals() == 2, "it is over");
}

// Without a time the back end may be asked again at once.
Test(backend_backoff, is_not_assumed_where_none_was_asked) {
  BusyBackend backend("");
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  for (int i = 0; i < 3; ++i) (void)Ask(relay, "r" + std::to_string(i));
  cr_assert(backend.Arrivals() == 3);
}

Test(backend_backoff, of_an_absurd_time_is_bounded_and_others_serve) {
  for (const std::string text : {"999999999999", "soon", "-1", "Thu, 03 Dec 2026 04:00:07 GMT"}) {
    BusyBackend busy("Retry-After: " + text + "\r\n");
    StubBackend other(
        [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "ok")}}; });
    RelayFixture relay;
    relay.AddBackend("b1", "s", busy.Address());
    relay.AddBackend("b2", "s", other.Address());
    relay.Start();
    // A node that has just started may repeat few requests.
    (void)Ask(relay, "first");
    for (int i = 0; i < 20; ++i) {
      const std::string answer = Ask(relay, "r" + std::to_string(i));
      cr_assert(Has(answer, "HTTP/1.1 200 "), "%s", answer.c_str());
    }
    cr_assert(busy.Arrivals() <= 1, "%s: %zu", text.c_str(), busy.Arrivals());
    relay.OnRelayThread([&relay] {
      const auto left = relay.Context().dispatcher.Registry().BackoffLeft(KeyOf("b1"), Now());
      cr_assert(left.value_or(Duration(0)) <= std::chrono::hours(1));
    });
  }
}

// What was under way before the first answer is answered by the back end; all of it counts as one
// back-off, and the longest holds.
Test(backend_backoff, asked_of_several_requests_under_way) {
  constexpr int kUnderWay = 6;
  std::atomic<int> number{0};
  StubBackend backend([&number](const std::string& request) {
    StubAnswer answer =
        TurnedAway(request, number++ == 0 ? "Retry-After: 5\r\n" : "Retry-After: 0.1\r\n");
    answer.delay_ms = 200;
    return answer;
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  std::vector<std::thread> callers;
  for (int i = 0; i < kUnderWay; ++i) {
    callers.emplace_back([&relay, i] { (void)Ask(relay, "r" + std::to_string(i)); });
  }
  for (std::thread& caller : callers) caller.join();
  std::this_thread::sleep_for(milliseconds(200));
  const std::string answer = Ask(relay, "later");
  cr_assert(std::stod(HeaderOf(answer, "Retry-After")) > 4, "%s", answer.c_str());
  cr_assert(backend.Requests().size() == kUnderWay);
}

// A request that was placed, and waits until the document is followed and the connection stands.
Test(backend_backoff, asked_while_a_request_waits_for_its_connection) {
  BusyBackend backend("Retry-After: 5\r\n");
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  (void)Ask(relay, "r1");
  relay.OnRelayThread([&relay] {
    Dispatcher& dispatcher = relay.Context().dispatcher;
    Placement placed;
    placed.backend = *dispatcher.Registry().Find("b1");
    RequestProfile profile;
    profile.service = "s";
    cr_assert(!dispatcher.MaySend(placed, profile, Now()));
  });
}

// The rest of a stream is asked of another back end, and of none that has asked to back off.
Test(backend_backoff, a_stream_goes_on_elsewhere) {
  BusyBackend busy("Retry-After: 5\r\n");
  StubBackend cutting([](const std::string& request) {
    StubAnswer answer;
    answer.pieces = {
        "HTTP/1.1 200 OK\r\nCartsail-Request-Id: " + HeaderOf(request, "Cartsail-Request-Id") +
        "\r\nCartsail-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "c\r\nid: 1\ndata\n\n\r\n"};
    answer.reset_after = true;
    return answer;
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", busy.Address());
  relay.AddBackend("b2", "s", cutting.Address());
  relay.Start();
  for (int i = 0; i < 6; ++i) (void)Ask(relay, "r" + std::to_string(i), "/resume/a");
  cr_assert(busy.Arrivals() == 1, "%zu", busy.Arrivals());
}

// A late answer to an earlier request comes in place of the next one's: the back end is the same.
Test(backend_backoff, asked_in_an_answer_to_another_request) {
  StubBackend backend([](const std::string& request) {
    return StubAnswer{
        {"HTTP/1.1 503 Busy\r\nCartsail-Request-Id: other\r\nCartsail-Not-Run: 1\r\n"
         "Retry-After: 5\r\nContent-Length: 0\r\n\r\n" +
         SignedAnswer(request, "ok")}};
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  cr_assert(Has(Ask(relay, "r1"), "HTTP/1.1 200 "));
  cr_assert(Has(Ask(relay, "r2"), "HTTP/1.1 503 "));
  cr_assert(backend.Requests().size() == 1);
}

// The process that asked has ended, another one has its id and address.
Test(backend_backoff, does_not_bind_a_back_end_that_started_again) {
  BusyBackend backend("Retry-After: 60\r\nCartsail-Leaving: 1\r\n");
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  (void)Ask(relay, "r1");
  (void)Ask(relay, "r2");
  cr_assert(backend.Arrivals() == 1);
  relay.OnRelayThread([&relay] {
    BackendRegistry& registry = relay.Context().dispatcher.Registry();
    Backend reborn = *registry.Find("b1");
    reborn.state = BackendState::kReady;
    reborn.started_ms = WallNow().count() + 60000;
    registry.Put(reborn);
  });
  (void)Ask(relay, "r3");
  cr_assert(backend.Arrivals() == 2);
}

// The time of a suspension counts: the back end has waited through it.
Test(backend_backoff, goes_on_while_the_machine_is_suspended) {
  BusyBackend backend("Retry-After: 60\r\n");
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  (void)Ask(relay, "r1");
  Suspend(std::chrono::seconds(30));
  const std::string answer = Ask(relay, "r2");
  const double told = std::stod(HeaderOf(answer, "Retry-After"));
  cr_assert(told > 20 && told <= 30, "%f", told);
  cr_assert(backend.Arrivals() == 1);
  Suspend(std::chrono::seconds(31));
  (void)Ask(relay, "r3");
  cr_assert(backend.Arrivals() == 2);
}

Test(backend_leaving, said_in_any_answer_is_the_last_request_it_gets) {
  for (const int status : {200, 404, 503}) {
    StubBackend leaving([status](const std::string& request) {
      return StubAnswer{{SignedAnswer(request, "", status, "Cartsail-Leaving: 1\r\n")}};
    });
    StubBackend other(
        [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "ok")}}; });
    RelayFixture relay;
    relay.AddBackend("b1", "s", leaving.Address());
    relay.Start();
    (void)Ask(relay, "r1");
    relay.OnRelayThread([&relay, &other] {
      BackendRegistry& registry = relay.Context().dispatcher.Registry();
      Backend second = *registry.Find("b1");
      // Its entry is written again, as one that is ready.
      second.state = BackendState::kReady;
      registry.Put(second);
      second.id = "b2";
      second.address = other.Address();
      registry.Put(second);
    });
    for (int i = 0; i < 5; ++i) cr_assert(Has(Ask(relay, "s" + std::to_string(i)), "200 "));
    cr_assert(leaving.Requests().size() == 1, "%d", status);
  }
}

// It is told in the head: a long answer goes on, and nothing new comes beside it.
Test(backend_leaving, is_known_while_the_answer_goes_on) {
  StubBackend leaving([](const std::string& request) {
    StubAnswer answer;
    answer.pieces = {
        "HTTP/1.1 200 OK\r\nCartsail-Request-Id: " + HeaderOf(request, "Cartsail-Request-Id") +
            "\r\nCartsail-Signature: s1\r\nCartsail-Leaving: 1\r\n"
            "Transfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata\n\n\r\n",
        "0\r\n\r\n"};
    answer.pause_ms = 300;
    return answer;
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", leaving.Address());
  relay.Start();
  Client first(relay.Port());
  first.Send(MakeRequest("POST", "/stream/a", "r1", "x"));
  cr_assert(Has(first.ReadUntil("data"), "data"));
  cr_assert(Has(Ask(relay, "r2"), "HTTP/1.1 503 "));
  cr_assert(Has(first.ReadUntil("0\r\n\r\n"), "0\r\n\r\n"), "the first one ends whole");
  cr_assert(leaving.Requests().size() == 1);
}

}  // namespace
}  // namespace cartsail::testing
