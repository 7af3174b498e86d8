// Back ends that were lost are asked how long they stay cold, and serve as soon as they have told.
#include <chrono>
#include <thread>

#include "cartsail/base/counters.h"
#include "placement/warmup_prober.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr char kPath[] = "/well";
constexpr Duration kPatience = seconds(10);

testing::StubAnswer Health(const std::string& headers, int status = 200) {
  return testing::StubAnswer{{"HTTP/1.1 " + std::to_string(status) + " Health\r\n" + headers +
                              "Content-Length: 0\r\n\r\n"}};
}

HttpResponse ResponseWith(int status, const HttpHeaders& headers) {
  HttpResponse response;
  response.status = status;
  response.headers = headers;
  return response;
}

std::optional<Duration> ColdLeft(int status, const HttpHeaders& headers) {
  return ParseHealthAnswer(ResponseWith(status, headers), "e", WireNames()).cold_left;
}

Test(warmth_answer, tells_how_long_it_stays_cold) {
  const WireNames names;
  const HttpHeaders self = {{names.instance, "e"}};
  cr_assert(ColdLeft(200, self) == Duration(0));
  cr_assert(!ColdLeft(503, self).has_value(), "turned away like a request: it tells nothing");
  cr_assert(!ColdLeft(200, {{names.instance, "other"}}).has_value());
  cr_assert(!ColdLeft(200, {}).has_value());
  const auto with = [&](const std::string& told) {
    return HttpHeaders{{names.instance, "e"}, {names.cold_left, told}};
  };
  cr_assert(ColdLeft(200, with("0")) == Duration(0));
  cr_assert(ColdLeft(200, with("1500")) == milliseconds(1500));
  cr_assert(ColdLeft(503, with("250.5")) == FromSeconds(0.2505));
  for (const char* junk : {"-1", "soon", "nan", "inf", "1e30"}) {
    cr_assert(!ColdLeft(200, with(junk)).has_value(), "%s", junk);
  }
}

// A relay with one back end, which has just lost a request.
class LostBackEnd {
 public:
  explicit LostBackEnd(testing::StubBackend::Handler handler, const std::string& path = kPath)
      : backend_(std::move(handler)) {
    ServiceRule& service = relay_.Document().services[0];
    service.warm_up = WarmUp{seconds(3), 8};
    service.health_path = path;
    relay_.AddBackend("e", "s", backend_.Address());
    relay_.Start();
    relay_.OnRelayThread([this] {
      RelayContext& context = relay_.Context();
      context.dispatcher.SetWarmUps(relay_.Document().services, ColdBound());
      inquiry_.emplace(context);
      inquiry_->Start();
      RequestProfile profile;
      profile.service = "s";
      const auto placement = context.dispatcher.Place(profile, {}, Now(), {}, {true, 1});
      context.dispatcher.Finish(placement->ticket, AttemptOutcome::kCut, Now());
    });
  }

  std::vector<ColdBackEnd> Cold() {
    std::vector<ColdBackEnd> cold;
    relay_.OnRelayThread([&] { cold = relay_.Context().dispatcher.ColdOf("s", Now()); });
    return cold;
  }

  bool IsReady() {
    bool is_ready = false;
    relay_.OnRelayThread(
        [&] { is_ready = !relay_.Context().dispatcher.Registry().ReadyOf("s").empty(); });
    return is_ready;
  }

  std::vector<std::string> Questions() { return backend_.Requests(); }

  bool BecomesWarm() {
    const TimePoint end = Now() + kPatience;
    while (Now() < end) {
      if (Cold().empty()) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

 private:
  std::optional<WarmupProber> inquiry_;  // outlives the relay's thread
  testing::StubBackend backend_;
  testing::RelayFixture relay_;
};

// Without the question it is held for cold for 13 s.
Test(warmth_inquiry, one_that_never_started_again_is_warm_at_once) {
  LostBackEnd lost([](const std::string&) { return Health("Cartsail-Instance: e\r\n"); });
  cr_assert(lost.BecomesWarm());
  const std::vector<std::string> questions = lost.Questions();
  cr_assert(questions.size() == 1, "%zu", questions.size());
  cr_assert(questions[0].rfind(std::string("GET ") + kPath + " ", 0) == 0);
}

Test(warmth_inquiry, one_that_is_cold_stays_so_for_as_long_as_it_tells) {
  LostBackEnd lost([](const std::string&) {
    return Health("Cartsail-Instance: e\r\nCartsail-Cold-Left-Ms: 60000\r\n");
  });
  const TimePoint end = Now() + kPatience;
  while (lost.Questions().empty() && Now() < end) std::this_thread::sleep_for(milliseconds(10));
  std::this_thread::sleep_for(milliseconds(300));
  const std::vector<ColdBackEnd> cold = lost.Cold();
  cr_assert(cold.size() == 1);
  cr_assert(cold[0].period.until > Now() + seconds(30));
  cr_assert(lost.Questions().size() == 1, "it has told");
}

// The address has gone to another one: what was lost has ended, and gets no request any more.
Test(warmth_inquiry, one_whose_address_another_one_has_is_gone) {
  LostBackEnd lost([](const std::string&) { return Health("Cartsail-Instance: other\r\n"); });
  cr_assert(lost.BecomesWarm(), "no longer among those that may get requests");
  cr_assert(!lost.IsReady());
}

Test(warmth_inquiry, one_that_turns_the_question_away_is_asked_again) {
  LostBackEnd lost([](const std::string&) { return Health("Cartsail-Instance: e\r\n", 503); });
  const TimePoint end = Now() + kPatience;
  while (lost.Questions().size() < 2 && Now() < end) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  cr_assert(lost.Questions().size() >= 2);
  cr_assert(lost.Cold().size() == 1 && lost.IsReady());
}

Test(warmth_inquiry, none_is_asked_without_a_path) {
  LostBackEnd lost([](const std::string&) { return Health("Cartsail-Instance: e\r\n"); }, "");
  std::this_thread::sleep_for(milliseconds(400));
  cr_assert(lost.Questions().empty());
}

}  // namespace
}  // namespace cartsail
