// A search for a replacement of a silent back end must hold no retry while it merely waits: others
// need it.
#include <string>
#include <thread>

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

// The retry was granted out of this node's own budget: it costs nothing to return it.
Test(held_retry, is_returned_while_no_other_back_end_is_reached, .timeout = 60) {
  LinkThread thread;
  StubBackend silent(SilentThenCut);
  StubBackend other(Done);
  GatedLink link(thread, other.Address());
  RelayFixture relay;
  relay.BePatient();
  relay.AddBackend("b1", "s", silent.Address());
  relay.Start();
  link.Set(PathState::kRefused);
  const auto left = [&relay] {
    double retries = 0;
    relay.OnRelayThread([&] { retries = relay.Context().retries.RemainingRequestBudget("s"); });
    return retries;
  };
  Client client(relay.Port());
  client.Send(MakePatientRequest("POST", "/safe/a", "r1", "x"));
  while (silent.Requests().empty()) std::this_thread::sleep_for(milliseconds(5));
  relay.OnRelayThread([&] { relay.AddBackend("b2", "s", link.Address()); });
  const double before = left();
  std::this_thread::sleep_for(milliseconds(kSilentMs / 2));
  int held = 0;
  constexpr int kLooks = 20;
  for (int i = 0; i < kLooks; ++i) {
    held += left() < before ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(20));
  }
  cr_assert(held <= kLooks / 2, "%d of %d looks", held, kLooks);
}

}  // namespace
}  // namespace cartsail::testing
