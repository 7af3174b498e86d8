// Replication of stream records: which nodes keep them, which records keepers receive, and what the
// first keeper writes to the store.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "streams/stream_service.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr char kKeeperPurpose[] = "streams ";
constexpr size_t kKeepersAsked = 3;  // one more than are told: the ranking may just have changed
constexpr Duration kSaveInterval = milliseconds(250);
constexpr Duration kPruneInterval = std::chrono::minutes(1);
constexpr size_t kRecordsPerMessage = 16;  // of 70 bytes each, to fit one packet

}  // namespace

// Returns hosts, with "" for this node.
std::vector<std::string> StreamService::Keepers(const std::string& service, TimePoint now) const {
  return peers_.RankStreamKeepers(kKeeperPurpose + service, kKeepersAsked, now);
}

bool StreamService::IsFirstKeeper(const std::string& service, TimePoint now) const {
  return OwnRank(Keepers(service, now)) == 0U;
}

void StreamService::AcceptRecord(const std::string& service, const StreamRecord& record,
                                 TimePoint now) {
  kept_records_.Note(service, record, now);
  if (saving_.contains(service)) unsaved_[service].push_back(record);
}

// Sends all of this node's records to each node that becomes a keeper, and to every keeper once
// recording starts.
void StreamService::SyncKeepers(const std::string& service, TimePoint now) {
  if (!IsRecording(service, now)) {
    synced_keepers_.erase(service);
    return;
  }
  std::vector<std::string> keepers = Keepers(service, now);
  if (keepers.size() > kReplicas) keepers.resize(kReplicas);
  const std::vector<std::string> synced = std::exchange(synced_keepers_[service], keepers);
  std::vector<StreamRecord> records;
  for (const std::string& host : keepers) {
    if (std::find(synced.begin(), synced.end(), host) != synced.end()) continue;
    if (records.empty()) records = own_records_.Of(service, now);
    for (const StreamRecord& record : records) {
      if (host.empty()) AcceptRecord(service, record, now);
    }
    if (host.empty() || !send_) continue;
    for (size_t i = 0; i < records.size(); i += kRecordsPerMessage) {
      StreamQuestion question;
      question.id = next_question_++;
      question.service = service;
      const size_t end = std::min(records.size(), i + kRecordsPerMessage);
      question.records.assign(records.begin() + static_cast<int64_t>(i),
                              records.begin() + static_cast<int64_t>(end));
      send_(host, question);
    }
  }
}

void StreamService::SaveDue(TimePoint now) {
  if (store_ == nullptr || now < next_save_) return;
  next_save_ = now + kSaveInterval;
  const bool prunes = now >= next_prune_;
  if (prunes) next_prune_ = now + kPruneInterval;
  for (const auto& [service, size] : ledger_sizes_) {
    if (!IsMixed(service, now) || !IsFirstKeeper(service, now)) {
      saving_.erase(service);
      unsaved_.erase(service);
      continue;
    }
    if (saving_.insert(service).second) unsaved_[service] = kept_records_.Of(service, now);
    if (!unsaved_[service].empty()) asio::co_spawn(io_, Save(service), asio::detached);
    if (prunes && size > 1) asio::co_spawn(io_, Prune(service), asio::detached);
  }
}

asio::awaitable<void> StreamService::Save(std::string service) {
  if (!saves_in_progress_.insert(service).second) co_return;
  std::vector<StreamRecord> records = std::exchange(unsaved_[service], {});
  const TimePoint now = Now();
  std::erase_if(records, [now](const StreamRecord& record) { return record.until <= now; });
  const absl::Status saved = co_await store_->Save(service, records);
  saves_in_progress_.erase(service);
  if (saved.ok()) co_return;
  GlobalCounters().stream_saves_failed_total.Add();
  Log(LogLevel::kWarning, "streams_not_saved",
      {{"service", service},
       {"streams", std::to_string(records.size())},
       {"why", std::string(saved.message())}});
  // The next save retries these records if this node still saves the service's records.
  if (!saving_.contains(service)) co_return;
  std::vector<StreamRecord>& unsaved = unsaved_[service];
  unsaved.insert(unsaved.end(), records.begin(), records.end());
  if (unsaved.size() > StreamRecords::kMaxRecords) unsaved.clear();
}

// Only a node that has seen every version listed within kVersionRetention may remove one.
asio::awaitable<void> StreamService::Prune(std::string service) {
  const TimePoint now = Now();
  if (now - started_ < kVersionRetention || IsOutOfTouch(now)) co_return;
  const absl::Status pruned = co_await store_->KeepOnly(service, history_.VersionsOf(service, now));
  if (!pruned.ok()) {
    Log(LogLevel::kWarning, "version_ledger_not_pruned",
        {{"service", service}, {"why", std::string(pruned.message())}});
  }
}

}  // namespace cartsail
