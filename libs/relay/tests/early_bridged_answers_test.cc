// Over a bridge, an answer without a length that its engine cut while the request was still being
// sent is reported as broken, as on a direct connection.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <memory>
#include <string>

#include "support/early_backend.h"
#include "support/head_play.h"
#include "support/own_hosts.h"
#include "support/relay_fixture.h"
#include "testing/criterion.h"
#include "upstream/bridge_server.h"
#include "upstream/upstream_connection.h"

namespace cartsail::testing {
namespace {

namespace asio = boost::asio;

constexpr uint16_t kBridgePort = 28745;
constexpr int64_t kBridgeMemory = int64_t{1} << 20;
// More than fits into the buffers of both connections.
constexpr size_t kUploadBytes = 32 << 20;
constexpr char kPart[] = "some bytes";

struct ReadAnswer {
  std::string body;
  UpstreamError error = UpstreamError::kNone;
  ReadingEnd end = ReadingEnd::kFraming;
};

// Awaited values have names: see docs/DESIGN.md on temporaries in co_await expressions.
asio::awaitable<void> ReadOver(std::shared_ptr<UpstreamConnection> connection, Endpoint bridge,
                               BackendKey backend, ReadAnswer* answer) {
  const TimePoint deadline = Now() + seconds(10);
  const BridgeOrder order{backend, false, seconds(1)};
  const BridgeResult result = co_await connection->ConnectOver(bridge, order, deadline);
  if (result != BridgeResult::kConnected) co_return;
  const auto body = std::make_shared<const std::string>(kUploadBytes, 'x');
  const std::string length = std::to_string(kUploadBytes);
  const SentRequest about{"r1", seconds(10)};
  connection->StartRequest("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n",
                           body, about);
  ResponseHead head;
  answer->error = co_await connection->ReadHead(&head, false, deadline);
  std::string chunk;
  while (answer->error == UpstreamError::kNone) {
    answer->error = co_await connection->ReadBody(&chunk, deadline);
    if (chunk.empty()) break;
    answer->body += chunk;
  }
  answer->end = connection->HowReadingEnded();
}

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

ReadAnswer Play(EarlyEnd end, const std::string& head = kHead) {
  EarlyBackend backend([&head, end](const std::string&) {
    return EarlyAnswer{head + kPart, true, end};
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  const Endpoint address{OwnHost(1), kBridgePort};
  RelayContext& context = relay.Context();
  BridgeServer bridges(context.io, {address, kBridgeMemory}, context.dispatcher, context.paths,
                       context.pool);
  relay.Start();
  BackendKey key = 0;
  relay.OnRelayThread([&] {
    cr_assert(bridges.Start().ok());
    key = context.dispatcher.Registry().Find("b1")->key;
  });
  asio::io_context io;
  const auto connection = std::make_shared<UpstreamConnection>(io.get_executor());
  ReadAnswer answer;
  const auto stop = [&io](const std::exception_ptr&) { io.stop(); };
  asio::co_spawn(io, ReadOver(connection, address, key, &answer), stop);
  io.run();
  connection->Close();
  relay.Stop();
  return answer;
}

Test(early_bridged_answers, a_reset_while_the_request_is_sent, .timeout = 60) {
  const ReadAnswer answer = Play(EarlyEnd::kReset);
  cr_expect(answer.body == kPart);
  cr_expect(answer.end == ReadingEnd::kReset, "%s",
            std::string(ReadingEndName(answer.end)).c_str());
}

Test(early_bridged_answers, an_end_in_order_while_the_request_is_sent, .timeout = 60) {
  for (const EarlyEnd end : {EarlyEnd::kHalfClosed, EarlyEnd::kClosedAndRead}) {
    const ReadAnswer answer = Play(end);
    cr_expect(answer.body == kPart);
    cr_expect(answer.end == ReadingEnd::kReset, "%s",
              std::string(ReadingEndName(answer.end)).c_str());
  }
}

Test(early_bridged_answers, a_head_that_is_none, .timeout = 60) {
  for (const std::string head :
       {"HTTP/1.1 000 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 999 OK\r\nContent-Length: 10\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX Broken: 1\r\nContent-Length: 10\r\n\r\n"}) {
    const ReadAnswer answer = Play(EarlyEnd::kReset, head);
    cr_expect(answer.error == UpstreamError::kMalformed && answer.body.empty(), "%s", head.c_str());
  }
}

}  // namespace
}  // namespace cartsail::testing
