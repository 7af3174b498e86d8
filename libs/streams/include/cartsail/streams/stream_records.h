// The started streams that a node knows, each kept while it may be resumed. Bounded in size.
// Performs no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartsail/streams/stream_record.h"

namespace cartsail {

class StreamRecords {
 public:
  // About 120 bytes each.
  static constexpr size_t kMaxRecords = 32768;

  // If there are more than `max_records`, the ones that expire first are dropped.
  explicit StreamRecords(size_t max_records = kMaxRecords) : max_records_(max_records) {}

  // Adds a record, or merges it into the known one of the same stream: the later `until` and a
  // confirmation are taken over. If the versions differ, the stream counts as unknown from then on.
  void Note(const std::string& service, const StreamRecord& record, TimePoint now);

  // Calls `is_confirmed` for each unconfirmed record and marks those for which it returns true.
  template <typename IsConfirmed>
  void Confirm(IsConfirmed is_confirmed) {
    std::erase_if(unconfirmed_, [&](StreamKey key) {
      const auto known = entries_.find(key);
      if (known == entries_.end()) return true;
      StreamRecord& record = known->second.record;
      record.is_confirmed = record.is_confirmed || is_confirmed(record);
      return record.is_confirmed;
    });
  }

  // Returns nullptr if the stream is unknown or can no longer be resumed.
  const StreamRecord* Find(StreamKey key, TimePoint now) const;

  // The records of `service` that Find() would return.
  std::vector<StreamRecord> Of(const std::string& service, TimePoint now) const;

  // Drops expired records. Call about once a second.
  void Expire(TimePoint now);

  size_t Size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string service;
    StreamRecord record;
    bool is_contradicted = false;  // records with different versions were noted
    std::multimap<TimePoint, StreamKey>::iterator end;
  };

  void Forget(std::multimap<TimePoint, StreamKey>::iterator end);

  size_t max_records_;
  std::unordered_map<StreamKey, Entry> entries_;
  std::multimap<TimePoint, StreamKey> ends_;
  std::vector<StreamKey> unconfirmed_;
};

}  // namespace cartsail
