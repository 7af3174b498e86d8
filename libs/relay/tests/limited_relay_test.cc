// A relay before back ends that name a rate: every way to them keeps to it, and callers are told
// when there is room.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

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

std::string Ask(RelayFixture& relay, const std::string& id, const std::string& path = "/safe/a") {
  Client client(relay.Port());
  client.Send(MakeRequest("POST", path, id, "x"));
  return client.ReadAnswer();
}

constexpr char kOneASecond[] = "Cartsail-Rate-Limit: 1\r\n";

// Answers as `answer` makes it, with the rate.
class LimitedBackend {
 public:
  explicit LimitedBackend(int status = 200, std::string more_headers = "")
      : server_([status, headers = kOneASecond + more_headers](const std::string& request) {
          return StubAnswer{{SignedAnswer(request, "fine", status, headers)}};
        }) {}

  std::string Address() const { return server_.Address(); }
  size_t Arrivals() { return server_.Requests().size(); }

 private:
  StubBackend server_;
};

Test(limited_backend, callers_are_refused_at_once_and_told_when_there_is_room) {
  LimitedBackend backend;
  LogCapture log;
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  cr_assert(Has(Ask(relay, "first", "/once/a"), "HTTP/1.1 200 "));
  const std::string refused = Ask(relay, "second", "/once/a");
  cr_assert(Has(refused, "HTTP/1.1 503 ") && Has(refused, "\"not_run\""), "%s", refused.c_str());
  const double told = std::stod(HeaderOf(refused, "Retry-After"));
  cr_assert(told > 0.5 && told <= 1, "%f", told);
  cr_assert(backend.Arrivals() == 1);
  std::this_thread::sleep_for(std::chrono::duration<double>(told));
  cr_assert(Has(Ask(relay, "third", "/once/a"), "HTTP/1.1 200 "));
  cr_assert(GlobalCounters().metered_refusals_total.Get() == 1);
  cr_assert(GlobalCounters().rate_limits_named_total.Get() == 1);
  cr_assert(Has(log.LineOf("backend_rate_limit"), " backend=b1 per_s=1 source=answer"));
}

// An answer that tells a failure is repeated elsewhere, not here.
Test(limited_backend, repeats_go_to_another_one) {
  LimitedBackend failing(500);
  StubBackend fine(
      [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "fine")}}; });
  RelayFixture relay;
  relay.AddBackend("b1", "s", failing.Address());
  relay.AddBackend("b2", "s", fine.Address());
  relay.Start();
  const TimePoint begun = Now();
  for (int i = 0; i < 40; ++i) {
    cr_assert(Has(Ask(relay, "r" + std::to_string(i)), "HTTP/1.1 200 "));
  }
  const auto most = static_cast<size_t>(2 + ToSeconds(Now() - begun));
  cr_assert(failing.Arrivals() <= most, "%zu", failing.Arrivals());
}

// It turns away what it does not take, and says so beside the rate.
Test(limited_backend, refusals_that_name_a_rate_count_as_well) {
  LimitedBackend busy(503, "Cartsail-Not-Run: 1\r\n");
  RelayFixture relay;
  relay.AddBackend("b1", "s", busy.Address());
  relay.Start();
  for (int i = 0; i < 10; ++i) cr_assert(Has(Ask(relay, "r" + std::to_string(i)), " 503 "));
  cr_assert(busy.Arrivals() <= 2, "%zu", busy.Arrivals());
}

// The rate is withdrawn with the first answer that names none.
Test(limited_backend, gets_all_again_when_it_names_no_rate) {
  std::atomic<bool> limited{true};
  StubBackend backend([&limited](const std::string& request) {
    return StubAnswer{{SignedAnswer(request, "fine", 200, limited ? kOneASecond : "")}};
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  cr_assert(Has(Ask(relay, "r1"), "HTTP/1.1 200 "));
  cr_assert(Has(Ask(relay, "r2"), "HTTP/1.1 503 "));
  limited = false;
  std::this_thread::sleep_for(milliseconds(1050));
  for (int i = 3; i < 20; ++i) {
    cr_assert(Has(Ask(relay, "r" + std::to_string(i)), "HTTP/1.1 200 "), "r%d", i);
  }
}

}  // namespace
}  // namespace cartsail::testing
