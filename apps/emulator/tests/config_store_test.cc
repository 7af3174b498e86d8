// Operators' writes against the stand-in's store, with replies lost and writes racing.
#include "cartsail/operations/config_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>

#include "cartsail/base/status.h"
#include "platform_store.h"
#include "testing/criterion.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

// The store as a client sees it; `lose` replies of writes are lost after the write.
class MemoryStore final : public KeyValueStore {
 public:
  Result<RangeResult> Range(RangeRequest request) override { co_return store.Range(request); }
  Result<TxnResult> Txn(TxnRequest request) override {
    if (before_write && !request.compares.empty()) std::exchange(before_write, nullptr)();
    TxnResult result = store.Txn(request);
    const bool writes = !request.compares.empty();
    if (writes && lose > 0) {
      --lose;
      co_return MakeError(ErrorKind::kPlatformUnavailable, "reply lost");
    }
    co_return result;
  }
  Result<int64_t> GrantLease(int64_t ttl) override { co_return store.GrantLease(ttl, TimePoint()); }
  asio::awaitable<absl::Status> KeepLease(int64_t lease) override {
    if (store.KeepAlive(lease, TimePoint())) co_return absl::OkStatus();
    co_return MakeError(ErrorKind::kConflict, "no such lease");
  }
  asio::awaitable<absl::Status> EndLease(int64_t lease) override {
    store.RevokeLease(lease);
    co_return absl::OkStatus();
  }
  asio::awaitable<absl::Status> Watch(std::string, std::string, int64_t, WatchCallback) override {
    co_return absl::OkStatus();
  }

  PlatformStore store;
  int lose = 0;
  std::function<void()> before_write;
};

absl::StatusOr<ChangeResult> Apply(MemoryStore& store, ConfigChange change) {
  asio::io_context context;
  ConfigStore config(store);
  absl::StatusOr<ChangeResult> result = MakeError(ErrorKind::kInternal, "no result");
  asio::co_spawn(context, config.Apply(std::move(change)),
                 [&](const std::exception_ptr&, absl::StatusOr<ChangeResult> value) {
                   result = std::move(value);
                 });
  context.run();
  return result;
}

ConfigChange Set(const std::string& path, const std::string& name, const std::string& value) {
  ConfigChange change;
  change.who = "test";
  change.edits.push_back({ParseTreePath(path).value(), name, value});
  return change;
}

int64_t AuditCount(const MemoryStore& store) {
  RangeRequest range;
  range.key = std::string(kAuditPrefix);
  range.range_end = PrefixEnd(range.key);
  return static_cast<int64_t>(store.store.Range(range).kvs.size());
}

Test(config_store, each_change_is_one_revision_with_an_audit_record) {
  MemoryStore store;
  cr_assert(Apply(store, Set("a/s/c", "tier", "1"))->revision == 1);
  cr_assert(Apply(store, Set("a/s/c", "tier", "2"))->revision == 2);
  cr_assert(AuditCount(store) == 2);
}

Test(config_store, a_lost_reply_is_found_to_have_taken_effect) {
  for (int lost = 1; lost <= 3; ++lost) {
    MemoryStore store;
    store.lose = lost;
    const auto result = Apply(store, Set("a/s/c", "tier", "1"));
    cr_assert(result.ok() && result->revision == 1);
    cr_assert(AuditCount(store) == 1, "written once");
  }
}

Test(config_store, a_race_is_a_conflict_that_names_the_difference) {
  MemoryStore store;
  cr_assert(Apply(store, Set("a/s/c", "tier", "1")).ok());
  store.before_write = [&store] { Apply(store, Set("a/s/c", "tier", "5")).value(); };
  const auto loser = Apply(store, Set("a/s/c", "tier", "3"));
  cr_assert(KindOf(loser.status()) == ErrorKind::kConflict);
  cr_assert(std::string(loser.status().message()).find("'1' -> '5'") != std::string::npos);
  ConfigChange stale = Set("a/s/c", "tier", "4");
  stale.expected_revision = 1;
  cr_assert(KindOf(Apply(store, stale).status()) == ErrorKind::kConflict);
  cr_assert(AuditCount(store) == 2);
}

Test(config_store, an_invalid_change_writes_nothing_and_lists_all_faults) {
  MemoryStore store;
  ConfigChange change = Set("a/s/c", "tier", "9");
  change.edits.push_back({ParseTreePath("a/s").value(), "colour", "red"});
  change.edits.push_back({ParseTreePath("root").value(), "tier_shares", "0,0,0,0,0,0"});
  const int64_t before = store.store.Revision();
  const auto result = Apply(store, change);
  cr_assert(KindOf(result.status()) == ErrorKind::kInvalidSetting);
  const std::string message(result.status().message());
  cr_assert(message.find("tier=9") != std::string::npos);
  cr_assert(message.find("colour") != std::string::npos);
  cr_assert(message.find("tier_shares") != std::string::npos);
  cr_assert(store.store.Revision() == before);
}

Test(config_store, a_root_change_that_breaks_a_class_is_refused) {
  MemoryStore store;
  cr_assert(Apply(store, Set("a/s/c", "max_wait", "30s")).ok());
  const auto result = Apply(store, Set("root", "deadline", "20s"));
  cr_assert(KindOf(result.status()) == ErrorKind::kInvalidSetting);
}

Test(config_store, bad_edits_of_the_tree) {
  MemoryStore store;
  cr_assert(Apply(store, Set("a/s/c", "tier", "1")).ok());
  ConfigChange unset;
  unset.edits.push_back({ParseTreePath("a/s/c").value(), "deadline", std::nullopt});
  ConfigChange remove;
  remove.removed.push_back(ParseTreePath("a/x").value());
  ConfigChange root;
  root.removed.push_back(TreePath());
  ConfigChange key;
  key.keys.push_back({"a", {"nobody", ""}});
  ConfigChange hash;
  hash.keys.push_back({"a", {"k", "short"}});
  for (const ConfigChange& change : {unset, remove, root, key, hash, ConfigChange()}) {
    cr_expect(KindOf(Apply(store, change).status()) == ErrorKind::kInvalidSetting);
  }
  cr_assert(AuditCount(store) == 1);
}

}  // namespace
}  // namespace cartsail::emulator
