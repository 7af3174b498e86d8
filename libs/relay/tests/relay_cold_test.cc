// What callers see where back ends are cold.
#include "cartsail/base/counters.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

constexpr Duration kColdWindow = seconds(1) + kGrantLifetime;

void MakeServiceCold(RelayFixture& relay, bool has_warm_up, const std::string& address) {
  ServiceRule& rule = relay.Document().services[0];
  if (has_warm_up) rule.warm_up = WarmUp{seconds(3), 8.6};
  relay.Context().dispatcher.SetWarmUps(relay.Document().services, ColdBound());
  Backend cold;
  cold.id = "b1";
  cold.service = "s";
  cold.address = address;
  cold.zone = "z1";
  cold.slots = 64;
  cold.cold_until = Now() + seconds(30);
  relay.Context().dispatcher.Registry().Put(cold);
}

Test(relay, with_only_cold_back_ends_left_a_request_is_refused_at_once_with_retry_after) {
  StubBackend backend(
      [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "fine")}}; });
  RelayFixture relay;
  MakeServiceCold(relay, true, backend.Address());
  relay.Start();
  Client client(relay.Port());
  int refused = 0;
  const TimePoint begun = Now();
  for (int i = 0; i < 8; ++i) {
    client.Send(MakeRequest("POST", "/once/a", "r" + std::to_string(i), "x"));
    const std::string answer = client.ReadAnswer();
    if (Has(answer, "HTTP/1.1 200 ")) continue;
    ++refused;
    cr_assert(Has(answer, "not_run"));
    const double retry_after = std::stod(HeaderOf(answer, "Retry-After"));
    const double opens = ToSeconds(kColdWindow - (Now() - begun));
    cr_assert(retry_after >= opens - 0.01, "%f %f", retry_after, opens);
    cr_assert(retry_after <= ToSeconds(kColdWindow));
  }
  cr_assert(Now() - begun < seconds(1), "at once");
  cr_assert(refused == 3);
  cr_assert(backend.Requests().size() == 5);
}

// The warm one has asked to back off for long, and the cold one bears no more for now: callers were
// told 0.1 s, as if the warm one were to be had.
Test(relay, beside_a_back_end_that_asked_to_back_off_the_wait_for_a_cold_one_is_told) {
  StubBackend cold(
      [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "fine")}}; });
  RelayFixture relay;
  MakeServiceCold(relay, true, cold.Address());
  relay.AddBackend("busy", "s", "127.0.0.1:1");
  relay.Context().dispatcher.NoteNotice(KeyOf("busy"), {false, seconds(60)}, Now());
  relay.Start();
  Client client(relay.Port());
  int refused = 0;
  const TimePoint begun = Now();
  for (int i = 0; i < 8; ++i) {
    client.Send(MakeRequest("POST", "/once/a", "r" + std::to_string(i), "x"));
    const std::string answer = client.ReadAnswer();
    if (Has(answer, "HTTP/1.1 200 ")) continue;
    ++refused;
    const double retry_after = std::stod(HeaderOf(answer, "Retry-After"));
    const double opens = ToSeconds(kColdWindow - (Now() - begun));
    cr_assert(retry_after >= opens - 0.01, "%f %f", retry_after, opens);
  }
  cr_assert(refused == 3);
}

Test(relay, a_service_without_warm_up_gets_all_requests) {
  StubBackend backend(
      [](const std::string& request) { return StubAnswer{{SignedAnswer(request, "fine")}}; });
  RelayFixture relay;
  MakeServiceCold(relay, false, backend.Address());
  relay.Start();
  Client client(relay.Port());
  for (int i = 0; i < 40; ++i) {
    client.Send(MakeRequest("POST", "/once/a", "r" + std::to_string(i), "x"));
    cr_assert(Has(client.ReadAnswer(), "HTTP/1.1 200 "));
  }
}

}  // namespace
}  // namespace cartsail::testing
