// What engines hold is asked for when this node becomes the coordinator.
#include "placement/cache_inventory.h"

#include <chrono>
#include <thread>

#include "cartsail/base/counters.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr char kPath[] = "/held";
constexpr Duration kPatience = seconds(10);

WireNames NamesWithInventory() {
  WireNames names;
  names.cached_parts_path = kPath;
  return names;
}

testing::StubAnswer Listing(const std::string& body) {
  testing::StubAnswer answer;
  answer.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body};
  return answer;
}

RequestProfile ProfileOf(uint64_t part) {
  RequestProfile profile;
  profile.service = "s";
  profile.is_generation = true;
  profile.prompt_parts = {{part, 5000}, {99, 100}};
  profile.prompt_tokens = 5100;
  return profile;
}

// Tokens that `engine` is known to hold of a prompt that begins with the part.
int64_t HeldAt(testing::RelayFixture& relay, const std::string& other, uint64_t part) {
  int64_t held = -1;
  relay.OnRelayThread([&] {
    Dispatcher& dispatcher = relay.Context().dispatcher;
    const auto placement = dispatcher.Place(ProfileOf(part), {KeyOf(other)}, Now());
    held = placement->held_tokens;
    dispatcher.Finish(placement->ticket, AttemptOutcome::kCallerGone, Now());
  });
  return held;
}

bool WaitFor(const std::function<bool()>& condition) {
  const TimePoint end = Now() + kPatience;
  while (Now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

Test(cache_inventory, a_new_coordinator_learns_what_engines_hold_and_asks_each_once) {
  testing::StubBackend holder(
      [](const std::string&) { return Listing(R"({"parts":[["a1",5000],["b2",40]]})"); });
  testing::StubBackend silent([](const std::string&) {
    testing::StubAnswer answer;
    answer.reset_after = true;
    return answer;
  });
  testing::RelayFixture relay(NamesWithInventory());
  relay.Document().services[0].engine = EngineProfile{};
  relay.AddBackend("holder", "s", holder.Address());
  relay.AddBackend("silent", "s", silent.Address());
  relay.Start();
  CacheInventory inventory(relay.Context());
  relay.OnRelayThread([&] { inventory.Start(); });
  cr_assert(WaitFor([&] { return HeldAt(relay, "silent", 0xa1) == 5000; }));
  cr_assert(WaitFor([&] { return silent.Requests().size() == 1; }));
  std::this_thread::sleep_for(milliseconds(200));
  cr_assert(holder.Requests().size() == 1 && silent.Requests().size() == 1);
  cr_assert(holder.Requests()[0].find(std::string("GET ") + kPath) == 0);
  cr_assert(HeldAt(relay, "holder", 0xa1) == 0, "the other one told nothing");
}

// An engine holds its work up while it lists, and each question is a new connection: a coordinator
// of a large service asks some of its engines.
Test(cache_inventory, asks_no_more_engines_of_a_larger_service) {
  constexpr int kEngines = 1000;
  constexpr int64_t kMostAsked = 256;
  testing::StubBackend engine([](const std::string&) { return Listing(R"({"parts":[]})"); });
  testing::RelayFixture relay(NamesWithInventory());
  relay.Document().services[0].engine = EngineProfile{};
  // Nobody listens at most of the addresses: a question there is over at once.
  for (int i = 0; i < kEngines; ++i) {
    const std::string port = engine.Address().substr(engine.Address().find(':'));
    relay.AddBackend("e" + std::to_string(i), "s",
                     "127.0." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + port);
  }
  relay.Start();
  const int64_t before = GlobalCounters().cache_inventories_failed_total.Get() +
                         GlobalCounters().cache_inventories_total.Get();
  const auto asked = [before] {
    return GlobalCounters().cache_inventories_failed_total.Get() +
           GlobalCounters().cache_inventories_total.Get() - before;
  };
  CacheInventory inventory(relay.Context());
  relay.OnRelayThread([&] { inventory.Start(); });
  cr_assert(WaitFor([&] { return asked() == kMostAsked; }), "%ld", asked());
  std::this_thread::sleep_for(milliseconds(200));
  cr_assert(asked() == kMostAsked, "%ld", asked());
}

// It wants nothing from this node, questions included; what it says in its answer to one binds
// requests.
Test(cache_inventory, asks_no_engine_that_backoffs_and_hears_which_does) {
  testing::StubBackend busy([](const std::string&) { return Listing(R"({"parts":[]})"); });
  testing::StubBackend full([](const std::string&) {
    return testing::StubAnswer{
        {"HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"}};
  });
  testing::RelayFixture relay(NamesWithInventory());
  relay.Document().services[0].engine = EngineProfile{};
  relay.AddBackend("busy", "s", busy.Address());
  relay.AddBackend("full", "s", full.Address());
  relay.Start();
  CacheInventory inventory(relay.Context());
  relay.OnRelayThread([&] {
    relay.Context().dispatcher.NoteNotice(KeyOf("busy"), {false, seconds(60)}, Now());
    inventory.Start();
  });
  const auto backs_off = [&relay] {
    bool all = false;
    relay.OnRelayThread(
        [&] { all = relay.Context().dispatcher.BackoffsFor(ProfileOf(1), Now()).all; });
    return all;
  };
  cr_assert(WaitFor(backs_off));
  cr_assert(full.Requests().size() == 1 && busy.Requests().empty());
}

}  // namespace
}  // namespace cartsail
