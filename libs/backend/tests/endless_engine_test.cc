// Guards against engines that send bytes without end that are no answer, or an answer with a status
// that HTTP does not know: little of them is kept, and the call fails soon.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <string>

#include "cartsail/backend/engine_stream.h"
#include "cartsail/base/status.h"
#include "testing/criterion.h"
#include "testing/endless_server.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// An event or a refusal is far smaller. The rest of it is in the buffers of the connection.
constexpr size_t kMaxTakenBytes = 32 << 20;

asio::awaitable<absl::Status> ReadAll(HttpConnectionPool& pool, Endpoint engine) {
  EngineStream stream(pool, engine);
  EngineCall call;
  call.endpoint = engine;
  call.attempt = "a1";
  const absl::Status opened = co_await stream.Open(call);
  if (!opened.ok()) co_return opened;
  while (true) {
    const absl::StatusOr<std::optional<EngineEvent>> event = co_await stream.Next(seconds(5));
    if (!event.ok()) co_return event.status();
    if (!event->has_value()) co_return absl::OkStatus();
  }
}

void CheckFailsSoon(const std::string& begin, const std::string& filler) {
  testing::EndlessServer engine(begin, filler);
  const Endpoint address{"127.0.0.1", engine.Port()};
  {
    asio::io_context io;
    HttpConnectionPool pool(io.get_executor());
    absl::Status status;
    const auto done = [&](const std::exception_ptr&, absl::Status result) {
      status = std::move(result);
      io.stop();
    };
    asio::co_spawn(io, ReadAll(pool, address), done);
    io.run();
    cr_expect(KindOf(status) == ErrorKind::kBackendFailed, "%s", status.ToString().c_str());
  }
  cr_expect(engine.Taken() < kMaxTakenBytes, "%zu bytes taken", engine.Taken());
}

constexpr char kStream[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

const std::string& Filler() {
  static const std::string filler(1 << 14, 'a');
  return filler;
}

Test(endless_engine, in_a_line_of_an_event, .timeout = 60) {
  CheckFailsSoon(std::string(kStream) + "data: ", Filler());
}

Test(endless_engine, in_the_lines_of_an_event, .timeout = 60) {
  CheckFailsSoon(kStream, "data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n");
}

Test(endless_engine, in_comments, .timeout = 60) {
  CheckFailsSoon(kStream,
                 ": aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n");
}

Test(endless_engine, in_a_refusal, .timeout = 60) {
  CheckFailsSoon("HTTP/1.1 500 Failed\r\n\r\n", Filler());
}

Test(endless_engine, after_a_status_that_http_does_not_know, .timeout = 60) {
  for (const std::string status : {"000", "099", "600", "999"}) {
    CheckFailsSoon("HTTP/1.1 " + status + " OK\r\nContent-Type: text/event-stream\r\n\r\n",
                   "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
  }
}

}  // namespace
}  // namespace cartsail
