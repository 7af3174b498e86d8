// Guards against a store that sends bytes without end that are no messages: a watch fails soon,
// with bounded memory.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <memory>
#include <string>
#include <vector>

#include "cartsail/base/status.h"
#include "cartsail/store/etcd_client.h"
#include "testing/criterion.h"
#include "testing/endless_server.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// A message may be as large as any other answer, 64 MB; the rest is in the connection's buffers.
constexpr size_t kMaxTakenBytes = 96 << 20;

void CheckWatchFails(const std::string& filler) {
  testing::EndlessServer store("HTTP/1.1 200 OK\r\n\r\n", filler);
  {
    asio::io_context io;
    EtcdClientOptions options;
    options.endpoint = {"127.0.0.1", store.Port()};
    const auto client = MakeEtcdClient(io.get_executor(), options);
    absl::Status status;
    const auto done = [&](const std::exception_ptr&, absl::Status result) {
      status = std::move(result);
      io.stop();
    };
    const WatchCallback on_events = [](std::vector<WatchEvent>, int64_t) { return true; };
    asio::co_spawn(io, client->Watch("a", "b", 1, on_events), done);
    io.run();
    cr_expect(KindOf(status) == ErrorKind::kPlatformUnavailable);
  }
  cr_expect(store.Taken() < kMaxTakenBytes, "%zu bytes taken", store.Taken());
}

Test(endless_watch, in_a_line, .timeout = 60) { CheckWatchFails(std::string(1 << 14, 'a')); }

// Each may have told of a change.
Test(endless_watch, in_lines_that_are_no_messages, .timeout = 60) {
  std::string lines;
  for (int i = 0; i < 1000; ++i) lines += "no message\n";
  CheckWatchFails(lines);
}

}  // namespace
}  // namespace cartsail
