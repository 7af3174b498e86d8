// Guards against a process that ends, again after each restart, because some other writer or
// another build left an odd stream record in the store: a number that its field cannot hold threw
// out of the coroutine that read it.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <string>

#include "streams/stream_store.h"
#include "support/scripted_store.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr char kSoundRow[] = R"([7,"v1","e-1",1700,true,9000,1800000000000])";

// What a node reads of the record `text`.
absl::StatusOr<StoredStreams> ReadRecord(const std::string& text) {
  boost::asio::io_context io;
  testing::ScriptedStore store(io);
  RangeResult list;
  list.revision = 10;
  list.kvs.push_back(testing::ItemOf("streams/s/records/n1-1", text, 9));
  store.SetList(list);
  StreamStore streams(store, "streams/", "n2");
  absl::StatusOr<StoredStreams> stored;
  bool has_thrown = false;
  const auto done = [&](const std::exception_ptr& thrown, absl::StatusOr<StoredStreams> result) {
    has_thrown = thrown != nullptr;
    stored = std::move(result);
  };
  boost::asio::co_spawn(io, streams.Read("s"), done);
  io.run();
  cr_assert(not has_thrown, "%s", text.c_str());
  return stored;
}

void ExpectOnlySoundRow(const std::string& odd_row) {
  const auto stored = ReadRecord("[" + odd_row + "," + kSoundRow + "]");
  cr_assert(stored.ok(), "%s", odd_row.c_str());
  cr_assert(stored->records.size() == 1 && stored->records[0].key == 7, "%s", odd_row.c_str());
}

Test(odd_records, a_number_that_its_field_cannot_hold_is_no_record) {
  for (const char* key : {"-1", "1e300", "7.5", "-9223372036854775808", "18446744073709551616"}) {
    ExpectOnlySoundRow("[" + std::string(key) + R"(,"v1","e-1",1700,true,9000,1800000000000])");
  }
  for (const char* started : {"1700.5", "1e300", "18446744073709551615"}) {
    ExpectOnlySoundRow(R"([8,"v1","e-1",)" + std::string(started) + ",true,9000,1800000000000]");
  }
  for (const char* left : {"0.5", "-1e300", "1e19"}) {
    ExpectOnlySoundRow(R"([8,"v1","e-1",1700,true,)" + std::string(left) + ",1800000000000]");
    ExpectOnlySoundRow(R"([8,"v1","e-1",1700,true,9000,)" + std::string(left) + "]");
  }
}

Test(odd_records, a_time_far_out_is_limited) {
  for (const char* left : {"9223372036854775807", "99999999999999"}) {
    const auto stored =
        ReadRecord(R"([[8,"v1","e-1",1700,true,)" + std::string(left) + "," + left + "]]");
    cr_assert(stored.ok() && stored->records.size() == 1);
    const StreamRecord& record = stored->records[0];
    cr_assert(record.until > Now() && record.until <= Now() + kMaxResumeTime, "%s", left);
    cr_assert(record.begun <= Now() + kVersionRetention, "%s", left);
  }
  const auto stored =
      ReadRecord(R"([[8,"v1","e-1",1700,true,-9223372036854775808,-9223372036854775808]])");
  cr_assert(stored.ok() && stored->records.size() == 1);
  cr_assert(stored->records[0].until < Now() && stored->records[0].begun < Now());
}

Test(odd_records, what_is_no_list_of_rows_holds_no_record) {
  const std::string deep(5000, '[');
  for (const std::string& text :
       {deep, std::string("{}"), std::string("\xff\xfe"), std::string()}) {
    const auto stored = ReadRecord(text);
    cr_assert(stored.ok() && stored->records.empty());
  }
  ExpectOnlySoundRow(R"([8,"v1"])");
  ExpectOnlySoundRow("[[[[]]]]");
}

}  // namespace
}  // namespace cartsail
