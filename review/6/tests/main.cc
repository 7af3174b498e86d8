// A large change of the configuration reaches node A, which tells node B of it and is killed; B
// stood still for a moment meanwhile. Checks that the change is in force afterwards.
#include "../../support-2/tests/stand_ins.h"

namespace {

using namespace review;

constexpr char kHost[] = "desk.example";
constexpr int kRoutesMore = 300;  // of big_config
constexpr Millis kConfigDeadline(2000);
constexpr Millis kContact(3000);

boost::json::object Route(const std::string& prefix) {
  return {{"name", "r" + prefix}, {"host", kHost},   {"path_prefix", prefix}, {"kind", "safe"},
          {"timeout_ms", 4000},   {"goal_ms", 300},  {"priority", 2},         {"service", "desk"},
          {"max_attempts", 2},    {"public", false}, {"can_resume", false},   {"sticky", false}};
}

// Version 11 has more routes, and lacks a key.
std::string Configuration(int64_t version) {
  boost::json::array routes{Route("/status/")};
  boost::json::array keys{"key-kept"};
  uint32_t random = 12345;
  for (int i = 0; version > 10 && i < kRoutesMore; ++i) {
    random = random * 1664525 + 1013904223;
    routes.push_back(Route("/m" + std::to_string(random) + "/"));
  }
  if (version > 10) routes.push_back(Route("/fresh/"));
  if (version == 10) keys.push_back("key-revoked");
  const boost::json::object tenant{{"name", "crews"}, {"api_keys", keys}};
  return boost::json::serialize(boost::json::object{
      {"version", version},
      {"routes", routes},
      {"services", boost::json::array{boost::json::object{
                       {"name", "desk"}, {"max_conns", 110}, {"health_path", "/health"}}}},
      {"limits", boost::json::object{{"max_header_bytes", 16384},
                                     {"max_body_bytes", 4194304},
                                     {"header_timeout_ms", 5000},
                                     {"idle_timeout_ms", 15000}}},
      {"tenants", boost::json::array{tenant}}});
}

// An engine of the service: runs what it is asked to and answers.
class Engine {
 public:
  Engine(std::string id, const std::string& ip, Record* record)
      : id_(std::move(id)), record_(record), server_(ip, [this](int fd) { Serve(fd); }) {}

  std::string Entry() const {
    return boost::json::serialize(boost::json::object{{"service", "desk"},
                                                      {"address", server_.At().Text()},
                                                      {"zone", "hall-a"},
                                                      {"version", "v1"},
                                                      {"slots", 6},
                                                      {"state", "ready"},
                                                      {"cold_left_ms", 0},
                                                      {"seq", 1}});
  }
  const std::string& Id() const { return id_; }

 private:
  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request)) {
      const std::string id = request.Header("X-Request-Id");
      if (request.Header("X-Expect-Instance") != id_) {
        if (!SendAll(fd, Answer(421, "", "X-Instance-Id: " + id_ + "\r\n"))) return;
        continue;
      }
      record_->Line("engine " + id_ + " runs " + id + " " + request.Target());
      std::this_thread::sleep_for(Millis(20));
      const std::string headers = "X-Request-Id: " + id + "\r\nX-Response-Seal: 1." + id + ".8\r\n";
      if (!SendAll(fd, Answer(200, "the body", headers))) return;
    }
  }

  std::string id_;
  Record* record_;
  Server server_;
};

class Case {
 public:
  Case(const std::string& folder, const std::string& temporary, bool trouble)
      : record_(folder + "/record.txt"), trouble_(trouble) {
    const int pid = getpid();
    net_ =
        "127." + std::to_string(20 + pid % 200) + "." + std::to_string(1 + pid / 200 % 250) + ".";
    store_ = std::make_unique<Store>(net_ + "100");
    const int ports = FreePorts({net_ + "1", net_ + "2"});
    has_ports_ = ports != 0;
    for (int i = 0; i < 2; ++i) {
      nodes_.push_back(std::make_unique<Node>("target/platform/cartsaild-platform", temporary,
                                              "front-" + std::to_string(i),
                                              net_ + std::to_string(1 + i), "hall-a", ports));
    }
    for (int i = 0; i < 2; ++i) {
      engines_.push_back(std::make_unique<Engine>("i-" + std::to_string(4711 + i),
                                                  net_ + std::to_string(101 + i), &record_));
    }
  }

  // Ends all processes that were started.
  void End() {
    for (const auto& node : nodes_) node->Kill();
  }

  int Run() {
    if (!has_ports_) return Fail("no free ports");
    for (const auto& engine : engines_) store_->Put("servers/" + engine->Id(), engine->Entry());
    store_->Put("op/config", Configuration(10));
    for (const auto& node : nodes_) Start(*node, true);
    if (!WaitFor(Millis(10000),
                 [this] { return IsServing(*nodes_[0]) && IsServing(*nodes_[1]); })) {
      return Fail("the nodes don't serve");
    }
    // The other one holds the lease on the fleet's extra retries, if one of them does.
    std::string holder;
    (void)WaitFor(Millis(10000), [this, &holder] {
      holder = store_->Get("cartsail/duty/retry-extra");
      return !holder.empty();
    });
    const size_t first = holder.rfind("front-0", 0) == 0 ? 1 : 0;
    Node& a = *nodes_[first];
    Node& b = *nodes_[1 - first];
    std::this_thread::sleep_for(kContact + Millis(1500));
    record_.Line("calm: " + a.Name() + " is A, " + b.Name() + " is B");
    if (Status(a, "/status/x", "key-revoked") != 200 || Status(b, "/status/x", "key-kept") != 200) {
      return Fail("the first configuration isn't in force");
    }

    if (trouble_) {
      b.Signal(SIGSTOP);
      record_.Line("B stands still");
      std::this_thread::sleep_for(Millis(30));
    }
    store_->Put("op/config", Configuration(11));
    const Clock::time_point acknowledged = Clock::now();
    record_.Line("the store has acknowledged version 11");
    if (!WaitFor(kConfigDeadline,
                 [this, &a] { return Status(a, "/fresh/x", "key-kept") == 200; })) {
      return Fail("version 11 isn't in force at A");
    }
    if (trouble_) {
      std::this_thread::sleep_for(Millis(20));
      a.Kill();
      record_.Line("A is killed");
      b.Signal(SIGCONT);
      record_.Line("B goes on");
      std::this_thread::sleep_for(Millis(2500));
      Start(a, false);
      record_.Line("A is started again");
    }
    std::this_thread::sleep_until(acknowledged + kConfigDeadline + 2 * kContact + Millis(500));
    record_.Line("both have been in touch: requests from here on count");
    return Judge(a, b);
  }

 private:
  int Judge(const Node& a, const Node& b) {
    int refused = 0;
    int ran = 0;
    int good = 0;
    for (int i = 0; i < 30; ++i) {
      for (const Node* node : {&a, &b}) {
        const int fresh = Status(*node, "/fresh/" + std::to_string(i), "key-kept");
        const int revoked = Status(*node, "/status/" + std::to_string(i), "key-revoked");
        refused += fresh == 404 ? 1 : 0;
        ran += revoked == 200 ? 1 : 0;
        good += (fresh == 200 ? 1 : 0) + (revoked == 401 ? 1 : 0);
      }
      std::this_thread::sleep_for(Millis(300));
    }
    const std::string verdict =
        std::to_string(refused) + " of 60 requests on a route of version 11 " + "got 404, " +
        std::to_string(ran) + " of 60 with a key that version 11 took away ran, " +
        std::to_string(good) + " of 120 as version 11 says";
    record_.Line(verdict);
    std::printf("%s\n", verdict.c_str());
    return refused + ran > 0 ? 1 : 0;
  }

  void Start(Node& node, bool first) {
    node.Run(store_->At(), nodes_[0]->Control().Text() + "," + nodes_[1]->Control().Text(), first,
             "");
  }

  bool IsServing(const Node& node) { return Status(node, "/status/x", "key-kept") == 200; }

  int Status(const Node& node, const std::string& path, const std::string& key) {
    const std::string id = "q-" + std::to_string(++ids_);
    record_.Line("client sends " + id + " " + path + " " + key + " to " + node.Name());
    const Message answer =
        Exchange(node.Front(),
                 "GET " + path + " HTTP/1.1\r\nHost: " + kHost + "\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer " + key +
                     "\r\nConnection: close\r\n\r\n",
                 Millis(4000));
    record_.Line("client gets " + id + " " + std::to_string(answer.Status()));
    return answer.Status();
  }

  template <typename Condition>
  bool WaitFor(Millis limit, Condition condition) {
    const Clock::time_point last = Clock::now() + limit;
    while (!condition()) {
      if (Clock::now() >= last) return false;
      std::this_thread::sleep_for(Millis(20));
    }
    return true;
  }

  int Fail(const std::string& why) {
    record_.Line("the case couldn't run: " + why);
    std::printf("the case couldn't run: %s\n", why.c_str());
    return 2;
  }

  Record record_;
  bool trouble_;
  bool has_ports_ = false;
  std::string net_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Engine>> engines_;
  int ids_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* const trouble = std::getenv("TROUBLE");
  // Not destroyed: threads of the stand-ins use it until the process ends.
  auto* const test = new Case(argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0");
  const int result = test->Run();
  test->End();
  std::fflush(stdout);
  std::_Exit(result);
}
