// Callers that read slowly, or stop, and back ends that read slowly. A back end cuts off an answer
// that is left unread for some seconds, so that a node reads on; what it holds is bounded.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cartsail/base/counters.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

using std::chrono::milliseconds;
using testing::Client;
using testing::MakeRequest;
using testing::RelayFixture;
using testing::StubAnswer;
using testing::StubBackend;

constexpr size_t kPieceBytes = 64 * 1024;

void SleepMillis(int millis) { std::this_thread::sleep_for(milliseconds(millis)); }

std::string Chunk(const std::string& bytes) {
  char size[32];
  snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// A stream of `pieces`, told to `sent` when all is out.
StubAnswer Stream(const std::string& request, int pieces, std::atomic<int>* sent) {
  StubAnswer answer;
  answer.pieces.push_back("HTTP/1.1 200 OK\r\nCartsail-Request-Id: " +
                          testing::HeaderOf(request, "Cartsail-Request-Id") +
                          "\r\nCartsail-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < pieces; ++i) answer.pieces.push_back(Chunk(std::string(kPieceBytes, 'a')));
  answer.pieces.emplace_back("0\r\n\r\n");
  answer.before_next = [sent, left = std::make_shared<int>(pieces + 1)] {
    if (--*left == 0) ++*sent;
  };
  return answer;
}

// A connection that takes little unread.
class SlowCaller {
 public:
  explicit SlowCaller(int port) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int kReceiveBytes = 4096;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes, sizeof kReceiveBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  }
  ~SlowCaller() { close(socket_); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  void Send(const std::string& text) {
    cr_assert(send(socket_, text.data(), text.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(text.size()));
  }

  // Bytes until the connection ends or `end` has come; how many.
  size_t ReadAll(const std::string& end) {
    std::string tail;
    size_t total = 0;
    char bytes[1 << 14];
    while (true) {
      const ssize_t got = recv(socket_, bytes, sizeof bytes, 0);
      if (got <= 0) return total;
      total += static_cast<size_t>(got);
      tail.append(bytes, static_cast<size_t>(got));
      if (tail.size() > end.size()) tail.erase(0, tail.size() - end.size());
      if (tail == end) return total;
    }
  }

 private:
  int socket_;
};

struct Scene {
  explicit Scene(int pieces)
      : engine([this, pieces](const std::string& request) {
          return Stream(request, pieces, &streams_sent);
        }) {
    relay.AddBackend("e1", "s", engine.Address());
    relay.Start();
  }

  int64_t Held() {
    int64_t held = 0;
    relay.OnRelayThread([this, &held] { held = relay.Context().request_memory->Total(); });
    return held;
  }

  int64_t RunningAtEngine() {
    int64_t running = 0;
    relay.OnRelayThread(
        [this, &running] { running = relay.Context().dispatcher.RequestsAt(KeyOf("e1")); });
    return running;
  }

  std::atomic<int> streams_sent{0};
  StubBackend engine;
  RelayFixture relay;
};

// The back end is through with its answer while the caller has taken nothing.
Test(slow_readers, a_stream_is_read_on_while_its_caller_stalls) {
  constexpr int kPieces = 5;  // more than the kernel takes for a caller
  Scene scene(kPieces);
  SlowCaller caller(scene.relay.Port());
  caller.Send(MakeRequest("POST", "/stream/a", "r1", "b"));
  for (int i = 0; i < 100 && scene.streams_sent == 0; ++i) SleepMillis(20);
  for (int i = 0; i < 50 && scene.RunningAtEngine() > 0; ++i) SleepMillis(20);
  cr_assert(scene.streams_sent == 1 && scene.RunningAtEngine() == 0);
  cr_assert(scene.Held() > kRequestStateBytes, "the caller has not taken it");
  cr_assert(caller.ReadAll("0\r\n\r\n") > kPieces * kPieceBytes);
  for (int i = 0; i < 100 && scene.Held() > 0; ++i) SleepMillis(20);
  cr_assert(scene.Held() == 0);
}

// Those that stop reading are given up, one after the other; the ones that read get all.
Test(slow_readers, callers_that_stop_reading_hold_up_nobody) {
  constexpr int kStalled = 40;
  constexpr int kPieces = 16;  // more than a node and the kernel take for a caller
  Scene scene(kPieces);
  const int64_t given_up_before = GlobalCounters().answers_cut_for_memory_total.Get();
  const int64_t limit = scene.relay.Context().request_memory->Limit();
  std::vector<std::unique_ptr<SlowCaller>> stalled;
  for (int i = 0; i < kStalled; ++i) {
    stalled.push_back(std::make_unique<SlowCaller>(scene.relay.Port()));
    stalled.back()->Send(MakeRequest("POST", "/stream/a", "s" + std::to_string(i), "b"));
  }
  SleepMillis(3000);  // the kernel takes what it can, then they are left alone for a second
  for (int i = 0; i < 10; ++i) {
    SlowCaller reading(scene.relay.Port());
    reading.Send(MakeRequest("POST", "/stream/a", "r" + std::to_string(i), "b"));
    cr_assert(reading.ReadAll("0\r\n\r\n") > kPieces * kPieceBytes);
    cr_assert(scene.Held() <= limit);
  }
  const int64_t given_up = GlobalCounters().answers_cut_for_memory_total.Get() - given_up_before;
  cr_assert(given_up > 0 && given_up <= kStalled, "%ld", given_up);
}

Test(slow_readers, a_caller_that_comes_back_gets_all) {
  Scene scene(1);
  SlowCaller caller(scene.relay.Port());
  caller.Send(MakeRequest("POST", "/stream/a", "r1", "b"));
  SleepMillis(2500);
  cr_assert(caller.ReadAll("0\r\n\r\n") > kPieceBytes);
}

}  // namespace
}  // namespace cartsail
