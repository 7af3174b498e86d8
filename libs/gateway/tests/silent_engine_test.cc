// What a caller gets while the engine that runs its request says nothing and then goes on.
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <vector>

#include "cartsail/base/hash.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/gateway/gateway.h"
#include "cartsail/net/http_client.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// The limits of the sessions are 5 s for the head of an answer and 10 s between two tokens.
constexpr Duration kLateHead = seconds(7);
constexpr Duration kLongTokenPause = seconds(12);
constexpr Duration kForGood = seconds(60);
constexpr Duration kCallerPatience = seconds(40);

// An engine that generates two tokens, "a" and "b".
struct Engine {
  Duration before_head{};
  Duration between_tokens{};
  int requests = 0;
};

asio::awaitable<void> Pause(asio::any_io_executor executor, Duration duration) {
  Timer timer(std::move(executor));
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string TokenEvent(int offset, const std::string& text) {
  return "id: " + std::to_string(offset) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" +
         text + "\"}}]}\n\n";
}

constexpr std::string_view kLastEvents =
    "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

// No lambda: Criterion's tests have C linkage, which a coroutine's parts must not inherit.
asio::awaitable<void> Generate(HttpExchange& exchange, asio::any_io_executor executor,
                               Engine* engine) {
  ++engine->requests;
  co_await Pause(executor, engine->before_head);
  HttpHeaders headers = {{"Content-Type", "text/event-stream"}};
  absl::Status status = co_await exchange.BeginStream(200, std::move(headers));
  const std::string first = TokenEvent(1, "a");
  if (status.ok()) status = co_await exchange.Write(first);
  co_await Pause(executor, engine->between_tokens);
  const std::string second = TokenEvent(2, "b");
  if (status.ok()) status = co_await exchange.Write(second);
  if (status.ok()) status = co_await exchange.Write(kLastEvents);
  if (status.ok()) (void)co_await exchange.EndStream();
}

enum class Retries {
  kDenied,
  kGranted,       // at the second engine
  kGrantedThere,  // at the engine that is silent
};

// Grants the first slot at the first engine.
class SlotGrants final : public ControlPlane {
 public:
  SlotGrants(Retries retries, bool repeatable) : retries_(retries) {
    Branch branch;
    branch.tenant = "t";
    branch.keys.push_back({"k", Sha256Hex("key")});
    branch.services["default"].classes["default"]["repeatable"] = repeatable ? "true" : "false";
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
    const bool is_first = request.purpose == SlotPurpose::kFirst;
    if (!is_first) {
      ++retries_asked;
      slots_held_at_retry = slots_held;
    }
    if (!is_first && retries_ == Retries::kDenied) {
      decision.status = MakeError(ErrorKind::kOverloaded, "the retry budget is used up");
      decision.retry_denied = true;
    } else {
      const bool is_second = !is_first && retries_ == Retries::kGranted;
      decision.engine = is_second ? "e2" : "e1";
      decision.endpoint = engines[is_second ? 1 : 0];
      ++slots_held;
    }
    done(decision);
  }
  void CancelSlot(RequestId) override {}
  void ReleaseSlot(RequestId, SlotEnd, const ServiceReport&) override { --slots_held; }
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

  std::array<Endpoint, 2> engines;
  int retries_asked = 0;
  int slots_held = 0;
  int slots_held_at_retry = 0;  // when a slot for a retry was last asked for

 private:
  Retries retries_;
  ConfigSnapshotPtr config_;
};

// One caller, one node and two engines on one thread.
class Scene {
 public:
  Scene(Retries retries, bool repeatable) : control(retries, repeatable) {
    for (size_t i = 0; i < engines.size(); ++i) {
      servers_[i] =
          MakeHttpServer(context_, {"127.0.0.1", 0}, {}, [this, i](HttpExchange& exchange) {
            return Generate(exchange, context_.get_executor(), &engines[i]);
          });
      cr_assert(servers_[i]->Start().ok());
      control.engines[i] = {"127.0.0.1", servers_[i]->Port()};
    }
    gateway_ = MakeGateway(context_.get_executor(), control);
    node_ = MakeHttpServer(context_, {"127.0.0.1", 0}, {},
                           [this](HttpExchange& exchange) { return gateway_->Handle(exchange); });
    cr_assert(node_->Start().ok());
  }

  // Sends the request and returns the whole answer; status 0: none came in time.
  HttpResponse Ask() {
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer key"}, {"Idempotency-Key", "once"}};
    request.body = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
    HttpResponse answer;
    asio::co_spawn(
        context_,
        Fetch(context_.get_executor(), {"127.0.0.1", node_->Port()}, request, kCallerPatience),
        [&](const std::exception_ptr&, absl::StatusOr<HttpResponse> response) {
          if (response.ok()) answer = *response;
          context_.stop();
        });
    context_.run();
    return answer;
  }

  std::array<Engine, 2> engines;
  SlotGrants control;

 private:
  asio::io_context context_{1};
  std::array<std::unique_ptr<HttpServer>, 2> servers_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<HttpServer> node_;
};

bool IsWhole(const HttpResponse& answer) {
  return answer.status == 200 && answer.body.find("\"ab\"") != std::string::npos;
}

Test(silent_engine, a_late_head_is_awaited_while_no_retry_is_granted, .timeout = 60) {
  Scene scene(Retries::kDenied, true);
  scene.engines[0].before_head = kLateHead;
  const HttpResponse answer = scene.Ask();
  cr_assert(IsWhole(answer), "%d %s", answer.status, answer.body.c_str());
  cr_assert(scene.control.retries_asked > 0 && scene.control.slots_held == 0);
}

Test(silent_engine, a_pause_in_the_answer_is_awaited_while_no_retry_is_granted, .timeout = 60) {
  Scene scene(Retries::kDenied, true);
  scene.engines[0].between_tokens = kLongTokenPause;
  const HttpResponse answer = scene.Ask();
  cr_assert(IsWhole(answer), "%d %s", answer.status, answer.body.c_str());
  cr_assert(scene.engines[0].requests == 1 && scene.control.slots_held == 0);
}

Test(silent_engine, a_request_that_may_not_run_twice_waits_for_its_engine, .timeout = 60) {
  Scene scene(Retries::kGranted, false);
  scene.engines[0].before_head = kLateHead;
  const HttpResponse answer = scene.Ask();
  cr_assert(IsWhole(answer), "%d %s", answer.status, answer.body.c_str());
  cr_assert(scene.control.retries_asked == 0 && scene.engines[1].requests == 0);
}

Test(silent_engine, a_retry_at_the_silent_engine_itself_replaces_nothing, .timeout = 60) {
  Scene scene(Retries::kGrantedThere, true);
  scene.engines[0].before_head = kLateHead;
  const HttpResponse answer = scene.Ask();
  cr_assert(IsWhole(answer), "%d %s", answer.status, answer.body.c_str());
  cr_assert(scene.engines[0].requests == 1 && scene.control.slots_held == 0);
}

// The control of the tests above.
Test(silent_engine, an_engine_that_stays_silent_is_left_once_another_has_a_slot, .timeout = 60) {
  Scene scene(Retries::kGranted, true);
  scene.engines[0].before_head = kForGood;
  const HttpResponse answer = scene.Ask();
  cr_assert(IsWhole(answer), "%d %s", answer.status, answer.body.c_str());
  cr_assert(scene.engines[1].requests == 1 && scene.control.slots_held == 0);
  cr_assert(scene.control.slots_held_at_retry == 1, "the slot was given up before another is held");
}

Test(silent_engine, an_answer_that_pauses_for_good_goes_on_elsewhere, .timeout = 60) {
  Scene scene(Retries::kGranted, true);
  scene.engines[0].between_tokens = kForGood;
  const HttpResponse answer = scene.Ask();
  cr_assert(answer.status == 200, "%d %s", answer.status, answer.body.c_str());
  cr_assert(answer.body.find("\"aab\"") != std::string::npos, "%s", answer.body.c_str());
  cr_assert(scene.control.slots_held_at_retry == 1, "the slot was given up before another is held");
}

}  // namespace
}  // namespace cartsail
