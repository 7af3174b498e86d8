// Guards against a store that sends a line without end: a watch fails with bounded memory.
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

Test(endless_watch, in_a_line, .timeout = 60) {
  testing::EndlessServer store("HTTP/1.1 200 OK\r\n\r\n", std::string(1 << 14, 'a'));
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

}  // namespace
}  // namespace cartsail
