// Requests between real sockets while the zone of a back end is drained, or their node stops.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <thread>
#include <vector>

#include "cartsail/base/counters.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr Duration kPatience = seconds(5);
constexpr int kMostFillers = 16;
constexpr int kSettleMs = 50;  // a connection over loopback that is not made by then waits

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

bool WaitFor(const std::function<bool()>& condition) {
  const TimePoint end = Now() + kPatience;
  while (Now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

// A back end whose queue of connections is full: who connects waits until Open() is called.
class CrowdedBackend {
 public:
  CrowdedBackend() {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(listener_, reinterpret_cast<sockaddr*>(&address_), sizeof(address_));
    listen(listener_, 0);
    socklen_t size = sizeof(address_);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address_), &size);
    for (int i = 0; i < kMostFillers && Fill(); ++i) {
    }
  }

  ~CrowdedBackend() {
    stopping_ = true;
    if (acceptor_.joinable()) acceptor_.join();
    for (const int socket : sockets_) close(socket);
    close(listener_);
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)); }

  // From now on it takes every connection, and notes what comes.
  void Open() {
    fcntl(listener_, F_SETFL, O_NONBLOCK);
    acceptor_ = std::thread([this] { TakeAll(); });
  }

  bool GotBytes() const { return got_bytes_; }

 private:
  // True when the connection was made: there may be room for one more.
  bool Fill() {
    const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockets_.push_back(filler);
    (void)connect(filler, reinterpret_cast<const sockaddr*>(&address_), sizeof(address_));
    pollfd made{filler, POLLOUT, 0};
    return poll(&made, 1, kSettleMs) == 1;
  }

  void TakeAll() {
    std::vector<int> taken;
    while (!stopping_) {
      const int socket = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
      if (socket >= 0) taken.push_back(socket);
      char byte = 0;
      for (const int connection : taken)
        got_bytes_ = got_bytes_ || recv(connection, &byte, 1, 0) > 0;
      std::this_thread::sleep_for(milliseconds(2));
    }
    for (const int connection : taken) close(connection);
  }

  int listener_ = -1;
  sockaddr_in address_{};
  std::vector<int> sockets_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> got_bytes_{false};
  std::thread acceptor_;
};

Backend InZone(const std::string& zone, const std::string& id, const std::string& address) {
  Backend backend;
  backend.id = id;
  backend.service = "s";
  backend.address = address;
  backend.zone = zone;
  backend.slots = 4;
  return backend;
}

StubAnswer Hello(const std::string& request) {
  return StubAnswer{{SignedAnswer(request, "hello")}};
}

Test(relay_drain, a_request_that_was_placed_and_not_yet_sent_goes_elsewhere) {
  CrowdedBackend crowded;
  StubBackend other(Hello);
  RelayFixture relay;
  relay.Context().options.connect_timeout = testing::kLongPatience;
  relay.BePatient();
  relay.AddBackend("b1", "s", crowded.Address());
  relay.Start();
  BackendRegistry& registry = relay.Context().dispatcher.Registry();
  Client client(relay.Port());
  client.Send(testing::MakePatientRequest("POST", "/once/a", "r1", "x"));
  const auto requests_at = [&relay](const std::string& id) {
    int64_t requests = 0;
    relay.OnRelayThread([&] { requests = relay.Context().dispatcher.RequestsAt(KeyOf(id)); });
    return requests;
  };
  cr_assert(WaitFor([&] { return requests_at("b1") == 1; }), "it waits for its connection");
  relay.OnRelayThread([&] {
    registry.Put(InZone("z2", "b2", other.Address()));
    registry.DrainZone("z1", Now());
  });
  crowded.Open();
  const std::string answer = client.ReadAnswer(testing::kLongPatience);
  cr_assert(Has(answer, "HTTP/1.1 200 ") && Has(answer, "hello"), "%s", answer.c_str());
  cr_assert(!crowded.GotBytes() && other.Requests().size() == 1);
  cr_assert(requests_at("b1") == 0);
  relay.OnRelayThread([&] {
    for (const BackendLoadEntry& entry : relay.Context().dispatcher.TakeDigest(Now()).loads) {
      cr_assert(entry.backend != KeyOf("b1"), "it has not failed, and peers are told nothing");
    }
  });
}

// Sent so late, it might be cut at the end of the process.
Test(relay_drain, a_request_that_waits_when_its_node_begins_to_refuse_is_not_sent) {
  CrowdedBackend crowded;
  RelayFixture relay;
  relay.Context().options.connect_timeout = testing::kLongPatience;
  relay.BePatient();
  relay.AddBackend("b1", "s", crowded.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(testing::MakePatientRequest("POST", "/once/a", "r1", "x"));
  const auto is_placed = [&relay] {
    int64_t requests = 0;
    relay.OnRelayThread([&] { requests = relay.Context().dispatcher.RequestsAt(KeyOf("b1")); });
    return requests == 1;
  };
  cr_assert(WaitFor(is_placed), "it waits for its connection");
  relay.OnRelayThread([&relay] {
    relay.Context().draining = true;
    relay.Context().refusing = true;
  });
  crowded.Open();
  const std::string answer = client.ReadAnswer();
  cr_assert(Has(answer, "HTTP/1.1 503 ") && Has(answer, "\r\nRetry-After: "), "%s", answer.c_str());
  cr_assert(Has(answer, "not_run") && !crowded.GotBytes());
}

Test(relay_drain, a_request_that_waits_for_the_catalog_of_a_node_that_stops_is_not_sent) {
  StubBackend backend(Hello);
  RelayFixture relay;
  relay.StartEmpty();
  const int64_t before = GlobalCounters().requests_total.Get();
  Client client(relay.Port());
  client.Send(testing::MakePatientRequest("POST", "/once/a", "r1", "x"));
  cr_assert(WaitFor([before] { return GlobalCounters().requests_total.Get() > before; }));
  relay.OnRelayThread([&relay] {
    relay.Context().draining = true;
    relay.Context().refusing = true;
  });
  relay.PutInForce("b1", backend.Address());
  const std::string answer = client.ReadAnswer();
  cr_assert(Has(answer, "HTTP/1.1 503 ") && Has(answer, "not_run"), "%s", answer.c_str());
  cr_assert(Has(answer, "Cartsail-Request-Id: r1\r\n") && backend.Requests().empty());
}

Test(relay_drain, an_answer_that_runs_ends_by_itself) {
  RelayFixture relay;
  StubBackend backend([&relay](const std::string& request) {
    const std::string whole = SignedAnswer(request, "a long answer");
    StubAnswer answer;
    answer.pieces = {whole.substr(0, whole.size() - 4), whole.substr(whole.size() - 4)};
    answer.before_next = [&relay] {
      relay.OnRelayThread(
          [&relay] { relay.Context().dispatcher.Registry().DrainZone("z1", Now()); });
    };
    answer.pause_ms = 100;
    return answer;
  });
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  Client client(relay.Port());
  client.Send(MakeRequest("POST", "/once/a", "r1", "x"));
  const std::string answer = client.ReadAnswer();
  cr_assert(Has(answer, "HTTP/1.1 200 ") && Has(answer, "a long answer"));
  cr_assert(backend.Requests().size() == 1);
}

Test(relay_drain, with_all_zones_drained_the_refusal_is_immediate_and_says_so) {
  constexpr Duration kImmediately = milliseconds(500);  // of 3 s that the request has
  StubBackend backend(Hello);
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  BackendRegistry& registry = relay.Context().dispatcher.Registry();
  relay.OnRelayThread([&] {
    registry.Put(InZone("z2", "b2", backend.Address()));
    registry.ReplaceDrainedZones({"z1", "z2"}, Now());
  });
  for (const std::string path : {"/once/a", "/safe/a", "/stream/a", "/resume/a"}) {
    Client client(relay.Port());
    const TimePoint sent = Now();
    client.Send(MakeRequest("POST", path, "r-" + path.substr(1, 3), "x"));
    const std::string answer = client.ReadAnswer();
    cr_assert(answer.rfind("HTTP/1.1 503 ", 0) == 0, "%s: %s", path.c_str(), answer.c_str());
    cr_assert(!HeaderOf(answer, "Retry-After").empty());
    cr_assert(Now() - sent < kImmediately);
  }
  cr_assert(backend.Requests().empty());
  relay.OnRelayThread([&] { registry.RestoreZone("z1", Now()); });
  Client client(relay.Port());
  client.Send(MakeRequest("POST", "/once/a", "r9", "x"));
  cr_assert(Has(client.ReadAnswer(), "hello"), "a zone that is restored serves at once");
}

// A back end starts again under its id and its address: what waits on a connection of before was
// sent to another process.
Test(relay_drain, connections_to_an_earlier_incarnation_are_not_used_again) {
  StubBackend backend(Hello);
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  Client client(relay.Port());
  for (const std::string id : {"r1", "r2"}) {
    client.Send(MakeRequest("POST", "/once/a", id, "x"));
    cr_assert(Has(client.ReadAnswer(), "hello"));
  }
  cr_assert(backend.Connections() == 1, "it is used again as long as the back end lives");
  relay.OnRelayThread([&] {
    Backend reborn = InZone("z1", "b1", backend.Address());
    reborn.started_ms = 1800000000000;
    relay.Context().dispatcher.Registry().Put(reborn);
  });
  client.Send(MakeRequest("POST", "/once/a", "r3", "x"));
  cr_assert(Has(client.ReadAnswer(), "hello"));
  cr_assert(backend.Connections() == 2);
}

}  // namespace
}  // namespace cartsail::testing
