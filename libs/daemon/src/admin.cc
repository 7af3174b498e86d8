#include "admin.h"

#include "cartsail/base/counters.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

HttpResponse Text(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  response.body = std::move(body);
  return response;
}

HttpResponse Answer(const AdminSources& sources, std::string_view path) {
  if (path == "/livez") return Text(200, "ok\n");
  if (path == "/readyz") {
    return sources.ready() ? Text(200, "ready\n") : Text(503, "not ready\n");
  }
  if (path == "/metrics") return Text(200, RenderCounters(GlobalCounters()));
  if (path == "/status") {
    HttpResponse response;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = json::serialize(sources.status());
    return response;
  }
  if (path == "/requests") return Text(200, sources.requests());
  return Text(404, "no such path: /livez, /readyz, /metrics, /status, /requests\n");
}

}  // namespace

std::unique_ptr<HttpServer> MakeAdminServer(asio::io_context& context, Endpoint endpoint,
                                            AdminSources sources) {
  auto shared = std::make_shared<AdminSources>(std::move(sources));
  HttpHandler handler = [shared](HttpExchange& exchange) -> asio::awaitable<void> {
    HttpResponse response = Answer(*shared, exchange.Request().Path());
    co_await exchange.Respond(std::move(response));
  };
  return MakeHttpServer(context, std::move(endpoint), {}, std::move(handler));
}

}  // namespace cartsail
