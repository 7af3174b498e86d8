#include "support/head_play.h"

#include <atomic>

#include "support/caller_view.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"

namespace cartsail::testing {
namespace {

constexpr char kWell[] = "id: 1\ndata: well\n\n";

}  // namespace

std::string WithIdOf(const std::string& request, std::string answer) {
  const size_t at = answer.find(kIdHeader);
  if (at == std::string::npos) return answer;
  const std::string id = "Cartsail-Request-Id: " + HeaderOf(request, "Cartsail-Request-Id");
  return answer.replace(at, sizeof(kIdHeader) - 1, id + "\r\n");
}

std::string SeenOn(const std::string& path, bool may_repeat, const std::string& answer) {
  std::atomic<int> asked{0};
  const auto handler = [&](const std::string& request) {
    if (asked++ > 0) {
      return StubAnswer{{SignedAnswer(request, kWell, 200, "Content-Type: text/event-stream\r\n")}};
    }
    StubAnswer first{{WithIdOf(request, answer)}};
    first.close_after = true;
    return first;
  };
  StubBackend first(handler);
  StubBackend second(handler);
  RelayFixture relay;
  relay.AddBackend("b1", "s", first.Address());
  relay.AddBackend("b2", "s", second.Address());
  relay.BePatient();
  relay.Start();
  const CallerView view =
      AskAsCaller(relay.Port(), MakeRequest("POST", path, "r1", "x", "Connection: close\r\n"));
  const bool is_repeated = may_repeat && asked == 2 && view.status == 200 && view.body == kWell;
  const bool is_failure = !may_repeat && asked == 1 && view.status == 502;
  if (is_repeated || is_failure) return {};
  return path + ": status " + std::to_string(view.status) + ", body \"" + view.body.substr(0, 80) +
         "\", " + std::to_string(asked) + " asked; ";
}

std::string SeenOnAnyRoute(const std::string& answer) {
  return SeenOn("/once/a", false, answer) + SeenOn("/stream/a", false, answer) +
         SeenOn("/safe/a", true, answer) + SeenOn("/resume/a", true, answer);
}

}  // namespace cartsail::testing
