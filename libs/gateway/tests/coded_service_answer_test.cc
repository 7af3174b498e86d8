// A plain service's answer in a coding that its caller did not ask for, and would not be told of,
// or with a status that HTTP does not know, is a failure.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

#include "cartsail/base/hash.h"
#include "cartsail/base/status.h"
#include "cartsail/gateway/gateway.h"
#include "cartsail/net/http_client.h"
#include "testing/criterion.h"
#include "testing/endless_server.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Grants each slot at the same back end.
class OneBackend final : public ControlPlane {
 public:
  OneBackend() {
    Branch branch;
    branch.tenant = "t";
    branch.keys.push_back({"k", Sha256Hex("key")});
    branch.services["desk"].settings["backend"] = "desk";
    branch.services["desk"].classes["default"];
    ConfigDelta delta;
    delta.revision = 1;
    delta.branches.push_back({"t", SerializeBranch(branch), 1});
    config_ = ConfigSnapshot::Empty()->Apply(delta).value();
  }

  ConfigSnapshotPtr Config() const override { return config_; }
  bool HasConfig() const override { return true; }
  void AcquireSlot(SlotRequest request, std::function<void(SlotDecision)> done) override {
    SlotDecision decision;
    decision.id = request.id;
    if (request.purpose == SlotPurpose::kFirst) {
      decision.engine = "e1";
      decision.endpoint = backend;
    } else {
      decision.status = MakeError(ErrorKind::kOverloaded, "no room");
      decision.retry_denied = true;
    }
    done(decision);
  }
  void CancelSlot(RequestId) override {}
  void ReleaseSlot(RequestId, SlotEnd, const ServiceReport&) override {}
  void EndRequest(const std::string&) override {}
  void AdoptSlot(RequestId, const std::string&, const WorkItem&) override {}
  void Claim(const std::string&, const ClaimRecord&, Duration,
             std::function<void(ClaimResult)> done) override {
    ClaimResult result;
    result.verdict = ClaimVerdict::kWon;
    done(result);
  }
  void WithdrawClaim(const std::string&, const ClaimRecord&) override {}
  void Locate(const std::string&, std::function<void(std::optional<Endpoint>)>) override {}

  Endpoint backend;

 private:
  ConfigSnapshotPtr config_;
};

// No lambda: Criterion's tests have C linkage, which a coroutine's parts must not inherit.
asio::awaitable<void> AnswerWith(HttpExchange& exchange, const HttpHeaders* headers) {
  HttpResponse response;
  response.headers = *headers;
  response.body = "the bytes";
  (void)co_await exchange.Respond(std::move(response));
}

// Sends a request to a node that passes it on to the service at `backend`.
HttpResponse AskNode(asio::io_context& context, uint16_t backend_port) {
  OneBackend control;
  control.backend = {"127.0.0.1", backend_port};
  const auto gateway = MakeGateway(context.get_executor(), control);
  const auto node = MakeHttpServer(context, {"127.0.0.1", 0}, {}, [&](HttpExchange& exchange) {
    return gateway->Handle(exchange);
  });
  cr_assert(node->Start().ok());
  HttpRequest request;
  request.target = "/services/desk/claim";
  request.headers = {{"Authorization", "Bearer key"}, {"Idempotency-Key", "once"}};
  HttpResponse answer;
  asio::co_spawn(context,
                 Fetch(context.get_executor(), {"127.0.0.1", node->Port()}, request, seconds(10)),
                 [&](const std::exception_ptr&, absl::StatusOr<HttpResponse> response) {
                   if (response.ok()) answer = *response;
                   context.stop();
                 });
  context.run();
  return answer;
}

HttpResponse Ask(const HttpHeaders& headers) {
  asio::io_context context{1};
  const auto backend =
      MakeHttpServer(context, {"127.0.0.1", 0}, {},
                     [&headers](HttpExchange& exchange) { return AnswerWith(exchange, &headers); });
  cr_assert(backend->Start().ok());
  return AskNode(context, backend->Port());
}

Test(coded_service_answer, is_a_failure, .timeout = 30) {
  const HttpResponse plain = Ask({{"Content-Type", "text/plain"}});
  cr_assert(plain.status == 200 && plain.body == "the bytes", "%d", plain.status);
  const HttpResponse coded = Ask({{"Content-Type", "text/plain"}, {"Content-Encoding", "gzip"}});
  cr_expect(coded.status == 502 && coded.body != "the bytes", "%d", coded.status);
}

Test(coded_service_answer, with_a_status_that_http_does_not_know_is_a_failure, .timeout = 30) {
  for (const std::string status : {"000", "099", "600", "999"}) {
    const std::string head = "HTTP/1.1 " + status + " OK\r\nContent-Length: 9\r\n\r\n";
    const testing::EndlessServer backend(head + "the bytes", " ");
    asio::io_context context{1};
    const HttpResponse answer = AskNode(context, backend.Port());
    cr_expect(answer.status == 502 && answer.body.find("the bytes") == std::string::npos,
              "%s: %d %s", status.c_str(), answer.status, answer.body.c_str());
  }
}

}  // namespace
}  // namespace cartsail
