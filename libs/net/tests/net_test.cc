#include "cartsail/net/http_types.h"
#include "cartsail/net/sse.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

Test(sse, events_survive_any_cut_of_the_stream) {
  const std::string text = FormatSse({"1", "", "{\"a\":1}"}) + FormatSse({"2", "error", "x"}) +
                           FormatSse({"", "", "[DONE]"});
  for (size_t step = 1; step < text.size(); ++step) {
    SseParser parser;
    std::vector<SseEvent> events;
    for (size_t at = 0; at < text.size(); at += step) {
      parser.Feed(std::string_view(text).substr(at, step));
      while (auto event = parser.Next()) events.push_back(*event);
    }
    cr_assert(events.size() == 3);
    cr_assert(events[0].id == "1" && events[0].data == "{\"a\":1}");
    cr_assert(events[1].name == "error" && events[2].data == "[DONE]");
    cr_assert(!parser.IsInsideEvent());
  }
}

Test(http, targets_and_headers) {
  HttpRequest request;
  request.target = "/v1/streams/x?offset=12&empty=&last=z";
  request.headers = {{"X-Class", "gate"}};
  cr_assert(request.Path() == "/v1/streams/x");
  cr_assert(request.QueryParameter("offset") == "12");
  cr_assert(request.QueryParameter("last") == "z");
  cr_assert(request.QueryParameter("none").empty());
  cr_assert(request.Header("x-class") == "gate");
}

Test(http, endpoints) {
  Endpoint endpoint;
  cr_assert(ParseEndpoint("127.0.0.1:80", &endpoint) && endpoint.port == 80);
  for (const char* bad : {"", ":80", "host:80", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000"}) {
    cr_expect(!ParseEndpoint(bad, &endpoint), "%s", bad);
  }
}

}  // namespace
}  // namespace cartsail
