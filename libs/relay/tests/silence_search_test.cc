// The search for a replacement of a silent back end must not use up what the request needs when
// that back end ends.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cartsail/base/counters.h"
#include "support/gated_link.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

// Longer than a repeatable request of the fixture waits for its first output (0.6 s).
constexpr int kSilentMs = 2000;

StubAnswer Done(const std::string& request) { return StubAnswer{{SignedAnswer(request, "done")}}; }

// A back end that answers nothing for a while and then breaks the connection.
StubAnswer SilentThenCut(const std::string& /*request*/) {
  StubAnswer answer;
  answer.pieces = {""};
  answer.delay_ms = kSilentMs;
  answer.reset_after = true;
  return answer;
}

Test(silence_search, a_back_end_that_was_merely_tried_to_reach_still_takes_over, .timeout = 60) {
  LinkThread thread;
  StubBackend silent(SilentThenCut);
  StubBackend other(Done);
  GatedLink link(thread, other.Address());
  RelayFixture relay;
  relay.BePatient();
  relay.AddBackend("b1", "s", silent.Address());
  relay.Start();
  link.Set(PathState::kRefused);
  Client client(relay.Port());
  client.Send(MakePatientRequest("POST", "/safe/a", "r1", "x"));
  while (silent.Requests().empty()) std::this_thread::sleep_for(milliseconds(5));
  relay.OnRelayThread([&] { relay.AddBackend("b2", "s", link.Address()); });
  std::this_thread::sleep_for(milliseconds(kSilentMs / 2));
  link.Set(PathState::kWell);
  const std::string answer = client.ReadAnswer(kLongPatience);
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert(silent.Requests().size() == 1 && other.Requests().size() == 1);
}

using Tickets = std::vector<std::unique_ptr<RetryTicket>>;

// No lambda: Criterion's tests have C linkage, which a coroutine's parts must not inherit.
boost::asio::awaitable<void> TakeAllRetries(RelayContext* context, Tickets* taken) {
  while (true) {
    std::unique_ptr<RetryTicket> ticket = co_await context->retries.Take("s");
    if (ticket == nullptr) co_return;
    taken->push_back(std::move(ticket));
  }
}

// A placement counts as load and as a grant, and tells peers where a prompt is held.
Test(silence_search, places_nothing_while_no_retry_is_granted, .timeout = 60) {
  Tickets taken;
  StubBackend silent(SilentThenCut);
  StubBackend other(Done);
  RelayFixture relay;
  relay.BePatient();
  relay.AddBackend("b1", "s", silent.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(MakePatientRequest("POST", "/safe/a", "r1", "x"));
  while (silent.Requests().empty()) std::this_thread::sleep_for(milliseconds(5));
  relay.OnRelayThread([&] {
    relay.AddBackend("b2", "s", other.Address());
    boost::asio::co_spawn(relay.Context().io, TakeAllRetries(&relay.Context(), &taken),
                          boost::asio::detached);
  });
  const int64_t before = GlobalCounters().placements_own_total.Get();
  std::this_thread::sleep_for(milliseconds(kSilentMs - 200));
  const auto placed = static_cast<long>(GlobalCounters().placements_own_total.Get() - before);
  cr_assert(!taken.empty() && other.Requests().empty());
  cr_assert(placed == 0, "%ld placements", placed);
  relay.OnRelayThread([&taken] { taken.clear(); });
}

}  // namespace
}  // namespace cartsail::testing
