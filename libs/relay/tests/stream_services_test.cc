// On a route that is divided among services a stream that is taken up goes on at the service that
// began it: callers' tries have ids of their own, and a service was drawn for each.
#include <string>

#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr int kStreams = 40;

StubAnswer OneEvent(const std::string& request) {
  return StubAnswer{
      {SignedAnswer(request, "id: 1\ndata: x\n\n", 200, "Content-Type: text/event-stream\r\n")}};
}

Test(stream_services, a_stream_is_taken_up_at_the_service_that_began_it) {
  StubBackend first(OneEvent);
  StubBackend second(OneEvent);
  RelayFixture relay;
  for (RouteRule& route : relay.Document().routes) route.shares = {{"s", 1}, {"t", 1}};
  ServiceRule other;
  other.name = "t";
  relay.Document().services.push_back(other);
  relay.AddBackend("b1", "s", first.Address());
  relay.AddBackend("b2", "t", second.Address());
  relay.BePatient();
  relay.Start();
  Client client(relay.Port());
  int elsewhere = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string stream = "r" + std::to_string(i);
    const size_t before = first.Requests().size();
    client.Send(MakeRequest("POST", "/resume/a", stream, "x"));
    (void)client.ReadAnswer();
    const bool began_at_first = first.Requests().size() > before;
    client.Send(MakeRequest("POST", "/resume/a", stream + "-again", "x",
                            "Cartsail-Resumes: " + stream + "\r\nLast-Event-ID: 1\r\n"));
    (void)client.ReadAnswer();
    const size_t at_first = first.Requests().size() - before;
    elsewhere += at_first != (began_at_first ? 2U : 0U) ? 1 : 0;
  }
  cr_assert(elsewhere == 0, "%d of %d", elsewhere, kStreams);
  cr_assert(!first.Requests().empty() && !second.Requests().empty());
}

}  // namespace
}  // namespace cartsail::testing
