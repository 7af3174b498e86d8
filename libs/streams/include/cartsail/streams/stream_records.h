// The begun streams that a node knows, each for as long as it may be taken up; bounded. Pure.
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
  // Some 120 bytes each.
  static constexpr size_t kMaxRecords = 32768;

  // Beyond `most` those that end first are forgotten.
  explicit StreamRecords(size_t max_records = kMaxRecords) : max_records_(max_records) {}

  // A stream has one version: where two are told, none is known from then on.
  void Note(const std::string& service, const StreamRecord& record, TimePoint now);

  // What is not confirmed is looked at: `is_confirmed` tells of a record whether it is by now.
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

  // nullptr: not known.
  const StreamRecord* Find(StreamKey key, TimePoint now) const;

  // Those of `service`.
  std::vector<StreamRecord> Of(const std::string& service, TimePoint now) const;

  // Forgets what has ended. To be called about once a second.
  void Expire(TimePoint now);

  size_t Size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string service;
    StreamRecord record;
    bool is_contradicted = false;
    std::multimap<TimePoint, StreamKey>::iterator end;
  };

  void Forget(std::multimap<TimePoint, StreamKey>::iterator end);

  size_t max_records_;
  std::unordered_map<StreamKey, Entry> entries_;
  std::multimap<TimePoint, StreamKey> ends_;
  std::vector<StreamKey> unconfirmed_;
};

}  // namespace cartsail
