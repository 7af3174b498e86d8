#include "service_server.h"

#include <fmt/format.h>

#include <boost/asio/use_awaitable.hpp>
#include <map>

#include "cartsail/base/hash.h"
#include "cartsail/base/json.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_server.h"
#include "json_reply.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

class ServiceServerImpl final : public ServiceServer {
 public:
  ServiceServerImpl(asio::io_context& context, ServiceServerOptions options)
      : context_(context), options_(std::move(options)) {
    server_ = MakeHttpServer(context, options_.listen, {},
                             [this](HttpExchange& exchange) { return Handle(exchange); });
  }

  absl::Status Start() override { return server_->Start(); }

 private:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    const std::string path(request.Path());
    if (path == "/admin/stats") {
      json::object stats{{"calls", calls_}, {"refused", refused_}};
      co_await SendJson(exchange, 200, std::move(stats));
    } else if (path == "/admin/starts") {
      const auto found = starts_.find(std::string(request.QueryParameter("id")));
      json::object starts{{"starts", found == starts_.end() ? 0 : found->second}};
      co_await SendJson(exchange, 200, std::move(starts));
    } else if (path == "/admin/faults") {
      SetFaults(request.body);
      co_await SendJson(exchange, 200, json::object());
    } else {
      co_await HandleCall(exchange, path);
    }
  }

  asio::awaitable<void> HandleCall(HttpExchange& exchange, std::string path) {
    if (leaving_) {
      ++refused_;
      co_await SendRefusal(exchange, 503, "leaving");
      co_return;
    }
    ++calls_;
    ++starts_[std::string(exchange.Request().Header("X-Request-Id"))];
    Timer timer(context_);
    timer.expires_after(options_.latency);
    co_await timer.async_wait(asio::use_awaitable);
    if (drop_before_reply_ > 0) {
      --drop_before_reply_;
      exchange.Abort();
      co_return;
    }
    const std::string body_hash = fmt::format("{:016x}", Hash64(exchange.Request().body));
    json::object answer{{"service", options_.id}, {"path", path}, {"body_hash", body_hash}};
    co_await SendJson(exchange, 200, std::move(answer));
  }

  void SetFaults(const std::string& body) {
    const absl::StatusOr<json::object> faults = ParseJsonObject(body);
    if (!faults.ok()) return;
    if (faults->contains("latency_ms")) {
      options_.latency = FromSeconds(GetDouble(*faults, "latency_ms") / 1e3);
    }
    leaving_ = GetBool(*faults, "leaving", leaving_);
    drop_before_reply_ = static_cast<int>(GetInt(*faults, "drop_before_reply", drop_before_reply_));
  }

  asio::io_context& context_;
  ServiceServerOptions options_;
  std::unique_ptr<HttpServer> server_;
  int64_t calls_ = 0;
  int64_t refused_ = 0;
  std::map<std::string, int64_t> starts_;
  bool leaving_ = false;
  int drop_before_reply_ = 0;
};

}  // namespace

std::unique_ptr<ServiceServer> MakeServiceServer(asio::io_context& context,
                                                 ServiceServerOptions options) {
  return std::make_unique<ServiceServerImpl>(context, std::move(options));
}

}  // namespace cartsail::emulator
