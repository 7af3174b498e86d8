#include "cartsail/streams/stream_records.h"

#include "cartsail/streams/engine_entry.h"
#include "cartsail/streams/version_history.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1000));

StreamRecord RecordOf(StreamKey key, const std::string& version, Duration lasts = seconds(15)) {
  return {key, version, "e-1", 0, false, kStart, kStart + lasts};
}

Test(stream_records, a_stream_is_known_while_it_may_be_resumed) {
  StreamRecords records;
  records.Note("s", RecordOf(1, "v1"), kStart);
  const StreamRecord* known = records.Find(1, kStart + seconds(15));
  cr_assert(known != nullptr && known->version == "v1");
  cr_assert(records.Find(1, kStart + seconds(16)) == nullptr);
  cr_assert(records.Find(2, kStart) == nullptr);
  records.Expire(kStart + seconds(16));
  cr_assert(records.Size() == 0);
}

// One of the two versions is wrong, and there is no way to tell which.
Test(stream_records, conflicting_versions_make_a_stream_unknown) {
  StreamRecords records;
  records.Note("s", RecordOf(1, "v1"), kStart);
  records.Note("s", RecordOf(1, "v1", seconds(20)), kStart);
  cr_assert(records.Find(1, kStart + seconds(20)) != nullptr);
  records.Note("s", RecordOf(1, "v2"), kStart);
  cr_assert(records.Find(1, kStart) == nullptr);
  records.Note("s", RecordOf(1, "v1"), kStart);
  cr_assert(records.Find(1, kStart) == nullptr);
  cr_assert(records.Of("s", kStart).empty());
}

Test(stream_records, are_bounded_in_number_and_time) {
  StreamRecords records(3);
  for (StreamKey key = 1; key <= 5; ++key) {
    records.Note("s", RecordOf(key, "v1", seconds(10 + static_cast<int64_t>(key))), kStart);
  }
  cr_assert(records.Size() == 3);
  cr_assert(records.Find(2, kStart) == nullptr && records.Find(5, kStart) != nullptr);
  StreamRecords endless;
  endless.Note("s", RecordOf(1, "v1", std::chrono::hours(9)), kStart);
  cr_assert(endless.Find(1, kStart + kMaxResumeTime + seconds(1)) == nullptr);
}

Test(stream_records, are_confirmed_once_by_check_or_by_report) {
  StreamRecords records;
  records.Note("s", RecordOf(1, "v1"), kStart);
  records.Note("s", RecordOf(2, "v1"), kStart);
  records.Confirm([](const StreamRecord& record) { return record.key == 1; });
  cr_assert(records.Find(1, kStart)->is_confirmed && !records.Find(2, kStart)->is_confirmed);
  StreamRecord confirmed = RecordOf(2, "v1");
  confirmed.is_confirmed = true;
  records.Note("s", confirmed, kStart);
  cr_assert(records.Find(2, kStart)->is_confirmed);
  int checked = 0;
  records.Confirm([&checked](const StreamRecord&) { return ++checked > 0; });
  cr_assert(checked == 0);
}

Test(stream_records, are_listed_by_service) {
  StreamRecords records;
  records.Note("s", RecordOf(1, "v1"), kStart);
  records.Note("t", RecordOf(2, "v1"), kStart);
  cr_assert(records.Of("s", kStart).size() == 1);
  cr_assert(records.Of("s", kStart + seconds(16)).empty());
}

Test(stream_records, keys_differ_by_service_and_tenant) {
  const StreamKey key = KeyOfStream("s", "t", "r");
  cr_assert(key == KeyOfStream("s", "t", "r"));
  cr_assert(key != KeyOfStream("s", "u", "r") && key != KeyOfStream("t", "t", "r"));
}

Test(version_history, a_service_is_mixed_until_a_version_expires) {
  VersionHistory history;
  history.NoteListed("s", "v1", kStart);
  cr_assert(!history.IsMixed("s", kStart));
  history.NoteListed("s", "v2", kStart + seconds(1));
  history.NoteListed("t", "v3", kStart + seconds(1));
  cr_assert(history.IsMixed("s", kStart + seconds(1)) && !history.IsMixed("t", kStart));
  history.NoteListed("s", "v2", kStart + kVersionRetention);
  cr_assert(history.IsMixed("s", kStart + kVersionRetention));
  cr_assert(!history.IsMixed("s", kStart + kVersionRetention + seconds(1)));
  history.Expire(kStart + kVersionRetention + seconds(1));
  cr_assert(history.VersionsOf("s", kStart + kVersionRetention).size() == 1);
}

// Guards against taking a stream of v2 for one of v1 after an engine ran v1, v2 and v1 again under
// the same id.
Test(engine_entry, only_the_same_start_time_matches_a_stream) {
  StreamRecord stream = RecordOf(1, "v1");
  stream.started_ms = 900'000;
  cr_assert(BeganStream({"v1", 900'000}, stream));
  cr_assert(!BeganStream({"v2", 999'000}, stream));
  cr_assert(!BeganStream({"v1", 999'000}, stream));
}

}  // namespace
}  // namespace cartsail
