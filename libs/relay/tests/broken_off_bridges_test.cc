// An answer that ends with its connection, over a bridge: only the back end's own end makes it
// whole, never that of the node between.
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <memory>
#include <string>
#include <thread>

#include "support/caller_view.h"
#include "support/path_fleet.h"
#include "testing/criterion.h"
#include "testing/loopback.h"
#include "upstream/upstream_connection.h"

namespace cartsail::testing {
namespace {

namespace asio = boost::asio;

// A node that bridges, as bytes: takes one order and one request, answers with `bytes`, closes.
class ScriptedBridge {
 public:
  explicit ScriptedBridge(std::string bytes) : bytes_(std::move(bytes)) {
    const LoopbackListener listener = ListenOnLoopback();
    listener_ = listener.socket;
    port_ = listener.port;
    thread_ = std::thread([this] { Serve(); });
  }

  ~ScriptedBridge() {
    thread_.join();
    close(listener_);
  }

  Endpoint Address() const { return {"127.0.0.1", port_}; }

 private:
  void Serve() const {
    const int peer = accept(listener_, nullptr, nullptr);
    char bytes[4096];
    (void)recv(peer, bytes, sizeof(bytes), 0);
    const char connected = 0;
    (void)send(peer, &connected, 1, MSG_NOSIGNAL);
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t received = recv(peer, bytes, sizeof(bytes), 0);
      if (received <= 0) break;
      request.append(bytes, static_cast<size_t>(received));
    }
    (void)send(peer, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
    close(peer);
  }

  std::string bytes_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::thread thread_;
};

std::string Frame(FrameKind kind, const std::string& bytes = "") {
  const auto head = EncodeFrameHead({kind, static_cast<uint32_t>(bytes.size())});
  return std::string(head.begin(), head.end()) + bytes;
}

struct ReadAnswer {
  std::string body;
  UpstreamError error = UpstreamError::kNone;
};

// Awaited values have names: see docs/DESIGN.md on temporaries in co_await expressions.
asio::awaitable<void> ReadOver(std::shared_ptr<UpstreamConnection> connection, Endpoint bridge,
                               ReadAnswer* answer) {
  const TimePoint deadline = Now() + seconds(5);
  const BridgeOrder order{1, false, seconds(1)};
  const BridgeResult result = co_await connection->ConnectOver(bridge, order, deadline);
  if (result != BridgeResult::kConnected) co_return;
  const auto body = std::make_shared<const std::string>();
  const SentRequest about{"r1", seconds(5)};
  connection->StartRequest("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", body, about);
  ResponseHead head;
  answer->error = co_await connection->ReadHead(&head, false, deadline);
  std::string chunk;
  while (answer->error == UpstreamError::kNone) {
    answer->error = co_await connection->ReadBody(&chunk, deadline);
    if (chunk.empty()) break;
    answer->body += chunk;
  }
}

ReadAnswer ReadFrom(const std::string& frames) {
  ScriptedBridge bridge(frames);
  asio::io_context io;
  const auto connection = std::make_shared<UpstreamConnection>(io.get_executor());
  ReadAnswer answer;
  const auto stop = [&io](const std::exception_ptr&) { io.stop(); };
  asio::co_spawn(io, ReadOver(connection, bridge.Address(), &answer), stop);
  io.run();
  return answer;
}

const std::string kHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

Test(broken_off_bridges, only_the_frame_that_says_so_ends_an_answer, .timeout = 60) {
  const std::string data = Frame(FrameKind::kData, kHead + "some bytes");
  const ReadAnswer whole = ReadFrom(data + Frame(FrameKind::kEnd));
  cr_assert(whole.error == UpstreamError::kNone && whole.body == "some bytes");
  const ReadAnswer broken = ReadFrom(data + Frame(FrameKind::kBroken));
  cr_assert(broken.error == UpstreamError::kBroken && broken.body == "some bytes");
}

Test(broken_off_bridges, the_end_of_the_node_between_is_no_end_of_the_answer, .timeout = 60) {
  const std::string frames =
      Frame(FrameKind::kData, kHead + "some bytes") + Frame(FrameKind::kData, "and more");
  int whole = 0;
  for (size_t bytes = kHead.size() + kFrameHeadBytes; bytes <= frames.size(); ++bytes) {
    const ReadAnswer answer = ReadFrom(frames.substr(0, bytes));
    whole += answer.error == UpstreamError::kNone ? 1 : 0;
  }
  cr_assert(whole == 0, "%d of %zu ends look whole", whole,
            frames.size() - kHead.size() - kFrameHeadBytes + 1);
}

// Events that end with their connection, one each 20 ms.
StubAnswer LongStream(const std::string& request) {
  StubAnswer answer;
  answer.pieces.push_back("HTTP/1.1 200 OK\r\nCartsail-Signature: s\r\nCartsail-Request-Id: " +
                          HeaderOf(request, "Cartsail-Request-Id") +
                          "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
  for (int i = 1; i <= 200; ++i) {
    answer.pieces.push_back("id: " + std::to_string(i) + "\ndata: a\n\n");
  }
  answer.pause_ms = 20;
  answer.close_after = true;
  return answer;
}

// The only node that reaches engines ends between two events.
void EndBridgingNodeIn(const std::string& path) {
  PathFleet fleet(2, 3, [](const std::string& request) {
    const bool is_plain =
        request.find("/once/") != std::string::npos || request.find("/safe/") != std::string::npos;
    return is_plain ? StubAnswer{{SignedAnswer(request, "done")}} : LongStream(request);
  });
  fleet.Start();
  fleet.SetLinks(1, PathState::kRefused);
  auto caller = fleet.Begin(0, "POST", path);
  cr_assert(caller->ReadUntil("data: a").find("200 OK") != std::string::npos);
  fleet.Kill(1);
  const std::string never = "\x01";
  const CallerView view = ReadAsCaller(caller->ReadUntil(never));
  cr_assert(view.status == 200 && !view.whole, "the stream looks whole");
}

Test(broken_off_bridges, a_stream_whose_bridging_node_ends_is_not_whole, .timeout = 60) {
  EndBridgingNodeIn("/stream/a");
}

Test(broken_off_bridges, a_resumable_stream_whose_bridging_node_ends_is_not_whole, .timeout = 60) {
  EndBridgingNodeIn("/resume/a");
}

}  // namespace
}  // namespace cartsail::testing
