#include "cartsail/streams/stream_records.h"

#include <algorithm>

namespace cartsail {

void StreamRecords::Note(const std::string& service, const StreamRecord& record, TimePoint now) {
  const TimePoint until = std::min(record.until, now + kMaxResumeTime);
  const auto known = entries_.find(record.key);
  if (known != entries_.end()) {
    Entry& entry = known->second;
    entry.is_contradicted = entry.is_contradicted || entry.record.version != record.version;
    entry.record.is_confirmed = entry.record.is_confirmed || record.is_confirmed;
    if (until <= entry.record.until) return;
    entry.record.until = until;
    ends_.erase(entry.end);
    entry.end = ends_.emplace(until, record.key);
    return;
  }
  Entry entry{service, record, false, ends_.emplace(until, record.key)};
  entry.record.until = until;
  if (!record.is_confirmed) unconfirmed_.push_back(record.key);
  entries_.emplace(record.key, std::move(entry));
  if (entries_.size() > max_records_) Forget(ends_.begin());
}

const StreamRecord* StreamRecords::Find(StreamKey key, TimePoint now) const {
  const auto known = entries_.find(key);
  if (known == entries_.end()) return nullptr;
  const Entry& entry = known->second;
  const bool holds = !entry.is_contradicted && now <= entry.record.until;
  return holds ? &entry.record : nullptr;
}

std::vector<StreamRecord> StreamRecords::Of(const std::string& service, TimePoint now) const {
  std::vector<StreamRecord> records;
  for (const auto& [key, entry] : entries_) {
    if (entry.service == service && Find(key, now) != nullptr) records.push_back(entry.record);
  }
  return records;
}

void StreamRecords::Expire(TimePoint now) {
  while (!ends_.empty() && ends_.begin()->first < now) Forget(ends_.begin());
}

void StreamRecords::Forget(std::multimap<TimePoint, StreamKey>::iterator end) {
  entries_.erase(end->second);
  ends_.erase(end);
}

}  // namespace cartsail
