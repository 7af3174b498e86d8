// A back end that restarted about when its predecessor said that it leaves is queried at its health
// path, and gets requests as soon as it says that it stays.
#include <chrono>
#include <thread>

#include "placement/leaving_prober.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr char kPath[] = "/well";
constexpr Duration kPatience = seconds(8);  // less than BackendNotices::kMaxAmbiguousHold

testing::StubAnswer Health(const std::string& headers, int status = 200) {
  return testing::StubAnswer{{"HTTP/1.1 " + std::to_string(status) + " Health\r\n" + headers +
                              "Content-Length: 0\r\n\r\n"}};
}

bool IsNotLeaving(int status, const HttpHeaders& headers) {
  HttpResponse response;
  response.status = status;
  response.headers = headers;
  return ParseHealthAnswer(response, "e", WireNames()).is_not_leaving;
}

Test(health_answer, says_whether_the_back_end_stays) {
  const WireNames names;
  cr_assert(IsNotLeaving(200, {{names.instance, "e"}}));
  cr_assert(IsNotLeaving(200, {{names.instance, "e"}, {names.cold_left, "1500"}}));
  cr_assert(!IsNotLeaving(503, {{names.instance, "e"}}), "it leaves, or is full");
  cr_assert(!IsNotLeaving(200, {{names.instance, "e"}, {names.leaving, "1"}}));
  cr_assert(!IsNotLeaving(200, {{names.instance, "other"}}));
  cr_assert(!IsNotLeaving(200, {}));
}

// A relay with one back end that has restarted.
class RestartedBackEnd {
 public:
  explicit RestartedBackEnd(testing::StubBackend::Handler handler, const std::string& path = kPath)
      : backend_(std::move(handler)) {
    relay_.Document().services[0].health_path = path;
    relay_.AddBackend("e", "s", backend_.Address());
    relay_.Start();
    relay_.OnRelayThread([this] {
      RelayContext& context = relay_.Context();
      prober_.emplace(context);
      prober_->Start();
      const Backend earlier = *context.dispatcher.Registry().Find("e");
      context.dispatcher.NoteNotice(earlier.key, {true, std::nullopt, WallNow()}, Now());
      Backend later = earlier;
      later.state = BackendState::kReady;
      later.started_ms = WallNow().count();
      context.dispatcher.Registry().Put(later);
    });
  }

  std::vector<std::string> Queries() { return backend_.Requests(); }

  bool MayReceive() {
    bool may = false;
    relay_.OnRelayThread([&] {
      const Dispatcher& dispatcher = relay_.Context().dispatcher;
      const Backend* backend = relay_.Context().dispatcher.Registry().Find("e");
      RequestProfile profile;
      profile.service = "s";
      may = dispatcher.MayReceive(backend->key, profile, Now());
    });
    return may;
  }

  bool ReceivesSoon() {
    const TimePoint end = Now() + kPatience;
    while (Now() < end) {
      if (MayReceive()) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  // Waits until it was queried so often.
  bool IsQueried(size_t count) {
    const TimePoint end = Now() + kPatience;
    while (Queries().size() < count && Now() < end) std::this_thread::sleep_for(milliseconds(10));
    return Queries().size() >= count;
  }

 private:
  std::optional<LeavingProber> prober_;  // outlives the relay's thread
  testing::StubBackend backend_;
  testing::RelayFixture relay_;
};

Test(leaving_query, ends_the_hold_when_the_back_end_stays) {
  RestartedBackEnd restarted([](const std::string&) { return Health("Cartsail-Instance: e\r\n"); });
  cr_assert(!restarted.MayReceive() || !restarted.Queries().empty());
  cr_assert(restarted.ReceivesSoon());
  const std::vector<std::string> queries = restarted.Queries();
  cr_assert(queries.size() == 1, "%zu", queries.size());
  cr_assert(queries[0].rfind(std::string("GET ") + kPath + " ", 0) == 0);
}

Test(leaving_query, is_sent_again_when_it_is_rejected) {
  RestartedBackEnd restarted(
      [](const std::string&) { return Health("Cartsail-Instance: e\r\n", 503); });
  cr_assert(restarted.IsQueried(2));
  cr_assert(!restarted.MayReceive());
}

Test(leaving_query, is_not_sent_again_when_the_back_end_says_that_it_leaves) {
  RestartedBackEnd restarted([](const std::string&) {
    return Health("Cartsail-Instance: e\r\nCartsail-Leaving: 1\r\n", 503);
  });
  cr_assert(restarted.IsQueried(1));
  std::this_thread::sleep_for(milliseconds(400));
  cr_assert(restarted.Queries().size() == 1 && !restarted.MayReceive());
}

Test(leaving_query, is_not_sent_without_a_health_path) {
  RestartedBackEnd restarted([](const std::string&) { return Health("Cartsail-Instance: e\r\n"); },
                             "");
  std::this_thread::sleep_for(milliseconds(400));
  cr_assert(restarted.Queries().empty() && !restarted.MayReceive());
}

}  // namespace
}  // namespace cartsail
