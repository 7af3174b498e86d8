#include "cartsail/gateway/gateway.h"

#include "caller.h"
#include "cartsail/base/counters.h"
#include "cartsail/base/status.h"
#include "chat_session.h"
#include "error_response.h"
#include "resume_session.h"
#include "service_session.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kStreamsPrefix = "/v1/streams/";
constexpr std::string_view kServicesPrefix = "/services/";

class RequestScope {
 public:
  RequestScope() {
    GlobalCounters().requests_total.Add();
    GlobalCounters().requests_in_flight.Add(1);
  }
  ~RequestScope() { GlobalCounters().requests_in_flight.Add(-1); }
  RequestScope(const RequestScope&) = delete;
  RequestScope& operator=(const RequestScope&) = delete;
};

class GatewayImpl final : public Gateway {
 public:
  GatewayImpl(asio::any_io_executor executor, ControlPlane& control)
      : executor_(executor), control_(control), pool_(executor), resolver_(control) {}

  asio::awaitable<void> Handle(HttpExchange& exchange) override {
    const RequestScope scope;
    const std::string path(exchange.Request().Path());
    if (path == kChatPath) {
      co_await HandleChat(exchange);
    } else if (path.starts_with(kStreamsPrefix)) {
      co_await HandleResume(exchange, path.substr(kStreamsPrefix.size()));
    } else if (path.starts_with(kServicesPrefix)) {
      co_await HandleService(exchange, path.substr(kServicesPrefix.size()));
    } else {
      co_await Refuse(exchange, MakeError(ErrorKind::kUnknownPath, "no such path"));
    }
  }

 private:
  asio::awaitable<void> HandleChat(HttpExchange& exchange) {
    if (exchange.Request().method != "POST") {
      co_await Refuse(exchange, MakeError(ErrorKind::kMalformedRequest, "use POST"));
      co_return;
    }
    const absl::StatusOr<Caller> caller = resolver_.Resolve(exchange.Request());
    if (!caller.ok()) {
      co_await Refuse(exchange, caller.status());
      co_return;
    }
    absl::StatusOr<ChatRequest> request = ParseChatRequest(exchange.Request().body);
    if (!request.ok()) {
      GlobalCounters().requests_malformed_total.Add();
      co_await Refuse(exchange, request.status());
      co_return;
    }
    ChatSession session(executor_, pool_, control_, exchange, *caller, std::move(*request));
    co_await session.Run();
  }

  asio::awaitable<void> HandleResume(HttpExchange& exchange, std::string stream) {
    const absl::StatusOr<Caller> caller = resolver_.Authenticate(exchange.Request());
    if (!caller.ok()) {
      co_await Refuse(exchange, caller.status());
      co_return;
    }
    const std::string_view last = exchange.Request().Header("Last-Event-ID");
    const std::string_view offset = exchange.Request().QueryParameter("offset");
    if (!last.empty()) {
      stream = last;
    } else if (!offset.empty()) {
      stream += ":" + std::string(offset);
    }
    StreamPosition position;
    if (!ParseStreamPosition(stream, &position)) {
      co_await Refuse(exchange, MakeError(ErrorKind::kUnknownStream, "this names no stream"));
      co_return;
    }
    co_await ResumeStream(executor_, pool_, control_, exchange, *caller, std::move(position));
  }

  asio::awaitable<void> HandleService(HttpExchange& exchange, std::string rest) {
    const size_t slash = rest.find('/');
    const std::string service = rest.substr(0, slash);
    std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    const std::string& target = exchange.Request().target;
    const size_t query = target.find('?');
    if (query != std::string::npos) path += target.substr(query);
    const absl::StatusOr<Caller> caller = resolver_.Resolve(exchange.Request(), service);
    if (!caller.ok()) {
      co_await Refuse(exchange, caller.status());
      co_return;
    }
    if (caller->policy->backend.empty()) {
      co_await Refuse(exchange,
                      MakeError(ErrorKind::kUnknownService, "this service has no plain back ends"));
      co_return;
    }
    co_await ForwardCall(executor_, pool_, control_, exchange, *caller, std::move(path));
  }

  static asio::awaitable<void> Refuse(HttpExchange& exchange, absl::Status status) {
    Failure failure;
    failure.status = std::move(status);
    if (KindOf(failure.status) == ErrorKind::kNotReady) failure.retry_after = seconds(1);
    CountFailure(failure);
    co_await exchange.Respond(FailureResponse(failure));
  }

  asio::any_io_executor executor_;
  ControlPlane& control_;
  HttpConnectionPool pool_;
  CallerResolver resolver_;
};

}  // namespace

std::unique_ptr<Gateway> MakeGateway(asio::any_io_executor executor, ControlPlane& control) {
  return std::make_unique<GatewayImpl>(std::move(executor), control);
}

HttpResponse ParseErrorResponse(const absl::Status& status) {
  GlobalCounters().requests_malformed_total.Add();
  Failure failure;
  failure.status = status;
  return FailureResponse(failure);
}

}  // namespace cartsail
