// Guards against a relay that goes on by an old configuration: it had noticed that its watch could
// not give it a change whole, and read the configuration only once the watch ended, which it does
// not while the platform is well.
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "config_service.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kWithin = seconds(1);
constexpr int64_t kStoreRevision = 10;

absl::Status Away() { return MakeError(ErrorKind::kPlatformUnavailable, "away"); }

KeyValue HeadOf(int64_t revision, int64_t store_revision) {
  KeyValue head;
  head.key = std::string(kHeadKey);
  head.value = SerializeHead({revision, "change"});
  head.mod_revision = store_revision;
  return head;
}

// Holds the head alone; its watches wait for ever once they have delivered what was pushed.
class HeadStore final : public KeyValueStore {
 public:
  explicit HeadStore(asio::io_context& io) : io_(io) {}

  Result<RangeResult> Range(RangeRequest /*request*/) override {
    RangeResult list;
    list.revision = head.mod_revision;
    list.kvs.push_back(head);
    co_return list;
  }
  Result<TxnResult> Txn(TxnRequest /*request*/) override { co_return Away(); }
  Result<int64_t> GrantLease(int64_t /*ttl_seconds*/) override { co_return Away(); }
  asio::awaitable<absl::Status> KeepLease(int64_t /*lease*/) override { co_return Away(); }
  asio::awaitable<absl::Status> EndLease(int64_t /*lease*/) override { co_return Away(); }
  asio::awaitable<absl::Status> Watch(std::string /*key*/, std::string /*range_end*/,
                                      int64_t /*start_revision*/,
                                      WatchCallback on_events) override {
    while (true) {
      std::vector<WatchEvent> events = std::exchange(pushed, {});
      if (!events.empty() && !on_events(std::move(events), head.mod_revision)) {
        co_return absl::OkStatus();
      }
      Timer timer(io_, milliseconds(5));
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  KeyValue head = HeadOf(1, kStoreRevision);
  std::vector<WatchEvent> pushed;

 private:
  asio::io_context& io_;
};

Test(config_gap, a_relay_whose_watch_lacks_a_change_reads_the_configuration_at_once) {
  asio::io_context io;
  NodeOptions options;
  HeadStore store(io);
  MemberTable members({}, Now());
  ConfigService service(io, options, store, members, [](const ConfigSnapshot&) {});
  cr_assert(service.IsRelay());
  service.Start();
  io.run_for(milliseconds(100));
  cr_assert(service.Current()->Revision() == 1);
  store.head = HeadOf(3, kStoreRevision + 2);
  store.pushed.push_back({false, store.head});
  io.restart();
  io.run_for(kWithin);
  cr_assert(service.Current()->Revision() == 3);
}

}  // namespace
}  // namespace cartsail
