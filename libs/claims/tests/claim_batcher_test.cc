#include "cartsail/claims/claim_batcher.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

ClaimRequest Request(uint64_t ticket, const std::string& key, const std::string& attempt) {
  return {ticket, key, {attempt, "engine-1"}, kStart + seconds(2)};
}

Test(claims, many_claims_cost_one_transaction) {
  ClaimBatcher batcher;
  for (uint64_t i = 0; i < 200; ++i) {
    batcher.Add(Request(i, "k" + std::to_string(i), "a" + std::to_string(i)));
  }
  cr_assert(batcher.TakeBatch(kStart).size() == 128);
  cr_assert(batcher.TakeBatch(kStart).empty(), "one transaction is out at a time");
}

// 17 zones together write no more often than the platform bears.
Test(claims, the_interval_grows_with_the_number_of_zones) {
  cr_assert(ClaimInterval(1) == milliseconds(10));
  cr_assert(ToSeconds(ClaimInterval(17)) * 150 > 16.99);
  ClaimBatcher batcher;
  batcher.SetInterval(ClaimInterval(17));
  int transactions = 0;
  for (uint64_t i = 0; i < 1000; ++i) {
    batcher.Add(Request(i, "k" + std::to_string(i), "a"));
    const TimePoint now = kStart + milliseconds(i);
    const std::vector<ClaimRequest> batch = batcher.TakeBatch(now);
    if (batch.empty()) continue;
    ++transactions;
    batcher.OnReply(std::vector<ClaimRecord>(batch.size(), {"a", ""}));
  }
  cr_assert(transactions <= 10, "%d in a second of one zone", transactions);
}

Test(claims, the_record_that_stands_decides) {
  ClaimBatcher batcher;
  batcher.Add(Request(1, "k1", "mine"));
  batcher.Add(Request(2, "k2", "mine"));
  batcher.TakeBatch(kStart);
  const std::vector<ClaimResult> results =
      batcher.OnReply({{"mine", "engine-1"}, {"other", "engine-2"}});
  cr_assert(results[0].verdict == ClaimVerdict::kWon);
  cr_assert(results[1].verdict == ClaimVerdict::kLost);
  cr_assert(results[1].holder.engine == "engine-2");
}

// The reply is lost after the write took effect: the same create, sent again, finds its own record.
Test(claims, a_lost_reply_is_decided_by_sending_again) {
  ClaimBatcher batcher;
  batcher.Add(Request(1, "k1", "mine"));
  cr_assert(batcher.TakeBatch(kStart).size() == 1);
  batcher.OnFailure(kStart);
  cr_assert(batcher.TakeBatch(kStart).empty(), "after a pause");
  cr_assert(batcher.TakeBatch(kStart + milliseconds(200)).size() == 1);
  cr_assert(batcher.OnReply({{"mine", "engine-1"}})[0].verdict == ClaimVerdict::kWon);
}

Test(claims, an_outage_ends_in_undecided) {
  ClaimBatcher batcher;
  batcher.Add(Request(1, "k1", "mine"));
  batcher.TakeBatch(kStart);
  batcher.OnFailure(kStart + seconds(1));
  cr_assert(batcher.Expire(kStart + milliseconds(1900)).empty());
  const std::vector<ClaimResult> results = batcher.Expire(kStart + seconds(2));
  cr_assert(results.size() == 1 && results[0].verdict == ClaimVerdict::kUndecided);
  cr_assert(batcher.Pending() == 0);
}

Test(claims, records_read_back_and_keys_hide_the_callers_key) {
  const ClaimRecord record = ParseClaim(SerializeClaim({"attempt", "engine"}));
  cr_assert(record.attempt == "attempt" && record.engine == "engine");
  cr_assert(ClaimKey("t", "secret").find("secret") == std::string::npos);
  cr_assert(ClaimKey("t1", "k") != ClaimKey("t2", "k"), "tenants do not share keys");
}

}  // namespace
}  // namespace cartsail
