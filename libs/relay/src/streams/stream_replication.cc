// Who keeps begun streams for others, what keepers are told, and what the first one writes into the
// store.
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

constexpr char kKeepingPurpose[] = "streams ";
constexpr size_t kKeepersAsked = 3;  // the ranking may just have changed
constexpr Duration kSaveInterval = milliseconds(250);
constexpr Duration kPruneInterval = std::chrono::minutes(1);
constexpr size_t kRecordsInMessage = 16;  // of 70 bytes: one packet

}  // namespace

// Hosts, or "" for this node.
std::vector<std::string> StreamService::Keepers(const std::string& service, TimePoint now) const {
  return peers_.RankStreamKeepers(kKeepingPurpose + service, kKeepersAsked, now);
}

bool StreamService::IsFirstKeeper(const std::string& service, TimePoint now) const {
  return OwnRank(Keepers(service, now)) == 0U;
}

void StreamService::Keep(const std::string& service, const StreamRecord& record, TimePoint now) {
  kept_.Note(service, record, now);
  if (saving_.contains(service)) unsaved_[service].push_back(record);
}

// Whoever becomes a keeper, and every keeper once records begin to count, learns of all streams of
// this node.
void StreamService::TellAll(const std::string& service, TimePoint now) {
  if (!IsRecording(service, now)) {
    told_.erase(service);
    return;
  }
  std::vector<std::string> keepers = Keepers(service, now);
  if (keepers.size() > kKeepersTold) keepers.resize(kKeepersTold);
  const std::vector<std::string> told = std::exchange(told_[service], keepers);
  std::vector<StreamRecord> records;
  for (const std::string& host : keepers) {
    if (std::find(told.begin(), told.end(), host) != told.end()) continue;
    if (records.empty()) records = own_.Of(service, now);
    for (const StreamRecord& record : records) {
      if (host.empty()) Keep(service, record, now);
    }
    if (host.empty() || !send_) continue;
    for (size_t i = 0; i < records.size(); i += kRecordsInMessage) {
      StreamQuestion question;
      question.id = next_question_++;
      question.service = service;
      const size_t end = std::min(records.size(), i + kRecordsInMessage);
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
    if (saving_.insert(service).second) unsaved_[service] = kept_.Of(service, now);
    if (!unsaved_[service].empty()) asio::co_spawn(io_, Save(service), asio::detached);
    if (prunes && size > 1) asio::co_spawn(io_, Prune(service), asio::detached);
  }
}

asio::awaitable<void> StreamService::Save(std::string service) {
  if (!saves_under_way_.insert(service).second) co_return;
  std::vector<StreamRecord> records = std::exchange(unsaved_[service], {});
  const TimePoint now = Now();
  std::erase_if(records, [now](const StreamRecord& record) { return record.until <= now; });
  const absl::Status saved = co_await store_->Save(service, records);
  saves_under_way_.erase(service);
  if (saved.ok()) co_return;
  GlobalCounters().stream_saves_failed_total.Add();
  Log(LogLevel::kWarning, "streams_not_saved",
      {{"service", service},
       {"streams", std::to_string(records.size())},
       {"why", std::string(saved.message())}});
  // Once more with the next ones, while this node saves.
  if (!saving_.contains(service)) co_return;
  std::vector<StreamRecord>& unsaved = unsaved_[service];
  unsaved.insert(unsaved.end(), records.begin(), records.end());
  if (unsaved.size() > StreamRecords::kMost) unsaved.clear();
}

// Only a node that has seen every version of the time may tell that one is gone.
asio::awaitable<void> StreamService::Prune(std::string service) {
  const TimePoint now = Now();
  if (now - started_ < kVersionKept || IsOutOfTouch(now)) co_return;
  const absl::Status pruned = co_await store_->KeepOnly(service, history_.VersionsOf(service, now));
  if (!pruned.ok()) {
    Log(LogLevel::kWarning, "version_ledger_not_pruned",
        {{"service", service}, {"why", std::string(pruned.message())}});
  }
}

}  // namespace cartsail
