#include "cartsail/gateway/gateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "cartsail/base/hash.h"
#include "cartsail/base/status.h"
#include "cartsail/net/http_client.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Grants the first slot and takes it back before the grant arrives; refuses the second.
class PreemptingControl final : public ControlPlane {
 public:
  PreemptingControl() {
    Branch branch;
    branch.tenant = "t";
    branch.keys.push_back({"k", Sha256Hex("key")});
    branch.services["default"].classes["default"];
    ConfigDelta delta;
    delta.revision = 1;
    delta.branches.push_back({"t", SerializeBranch(branch), 1});
    config_ = ConfigSnapshot::Empty()->Apply(delta).value();
  }

  ConfigSnapshotPtr Config() const override { return config_; }
  bool HasConfig() const override { return true; }
  void AcquireSlot(SlotRequest request, std::function<void(SlotDecision)> done) override {
    purposes.push_back(request.purpose);
    SlotDecision decision;
    decision.id = request.id;
    decision.engine = "e1";
    decision.endpoint = engine;
    if (purposes.size() == 1) {
      request.on_preempt();
    } else {
      decision.status = MakeError(ErrorKind::kOverloaded, "no room");
    }
    done(decision);
  }
  void CancelSlot(RequestId) override {}
  void ReleaseSlot(RequestId, SlotEnd end, const ServiceReport& report) override {
    ends.push_back(end);
    if (report.started) ++started;
  }
  void EndRequest(const std::string&) override {}
  void AdoptSlot(RequestId, const std::string&, const WorkItem&) override {}
  void Claim(const std::string&, const ClaimRecord&, Duration,
             std::function<void(ClaimResult)>) override {}
  void WithdrawClaim(const std::string&, const ClaimRecord&) override {}
  void Locate(const std::string&, std::function<void(std::optional<Endpoint>)>) override {}

  Endpoint engine;
  std::vector<SlotPurpose> purposes;
  std::vector<SlotEnd> ends;
  int started = 0;

 private:
  ConfigSnapshotPtr config_;
};

// No lambda: Criterion's tests have C linkage, which a coroutine's parts must not inherit.
asio::awaitable<void> CountAndAbort(HttpExchange& exchange, int* count) {
  ++*count;
  exchange.Abort();
  co_return;
}

Test(gateway, a_preemption_that_crosses_its_grant_sends_nothing) {
  asio::io_context context{1};
  int engine_requests = 0;
  const auto engine = MakeHttpServer(context, {"127.0.0.1", 0}, {}, [&](HttpExchange& exchange) {
    return CountAndAbort(exchange, &engine_requests);
  });
  cr_assert(engine->Start().ok());
  PreemptingControl control;
  control.engine = {"127.0.0.1", engine->Port()};
  const auto gateway = MakeGateway(context.get_executor(), control);
  const auto server = MakeHttpServer(context, {"127.0.0.1", 0}, {}, [&](HttpExchange& exchange) {
    return gateway->Handle(exchange);
  });
  cr_assert(server->Start().ok());
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"Authorization", "Bearer key"}};
  request.body = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
  HttpResponse answer;
  asio::co_spawn(context,
                 Fetch(context.get_executor(), {"127.0.0.1", server->Port()}, request, seconds(10)),
                 [&](const std::exception_ptr&, absl::StatusOr<HttpResponse> response) {
                   if (response.ok()) answer = *response;
                   context.stop();
                 });
  context.run();
  cr_assert(engine_requests == 0, "%d", engine_requests);
  cr_assert(control.purposes.size() == 2 && control.purposes[1] == SlotPurpose::kContinuation);
  cr_assert(control.ends.size() == 1 && control.started == 0);
  cr_assert(answer.status == 503);
  cr_assert(answer.body.find("not_run") != std::string::npos, "%s", answer.body.c_str());
}

}  // namespace
}  // namespace cartsail
