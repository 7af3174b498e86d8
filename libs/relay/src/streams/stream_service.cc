#include "streams/stream_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// A question or its answer may be lost: unanswered questions are sent once more after this time.
constexpr Duration kResendDelay = milliseconds(10);
// Limit for which a stream's first event waits for the keepers.
constexpr Duration kReplicationTimeout = milliseconds(30);
constexpr Duration kLookupTimeout = milliseconds(300);
constexpr Duration kTick = StallDetector::kInterval;
// Interval at which an unchanged registry is scanned, to renew when versions were last listed.
constexpr Duration kRescanInterval = seconds(10);
// Least interval between scans for each listed engine: a registry of 3,000 engines that changes all
// the time is scanned ten times a second.
constexpr Duration kScanIntervalPerEngine = std::chrono::microseconds(33);

}  // namespace

StreamService::StreamService(asio::io_context& io, const PeerTable& peers,
                             const BackendRegistry& registry, const RoutingState& routing,
                             Duration fresh_for)
    : io_(io),
      peers_(peers),
      registry_(registry),
      routing_(routing),
      fresh_for_(fresh_for),
      process_verifier_(io, registry),
      started_(Now()),
      next_question_(std::random_device{}()) {}

void StreamService::Start() { asio::co_spawn(io_, Run(), asio::detached); }

asio::awaitable<void> StreamService::Pause(Duration duration) {
  Timer timer(io_, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> StreamService::Run() {
  while (true) {
    Tick(Now());
    co_await Pause(kTick);
  }
}

void StreamService::Tick(TimePoint now) {
  process_verifier_.Beat(now);
  ScanRegistry(now);
  own_records_.Expire(now);
  kept_records_.Expire(now);
  history_.Expire(now);
  const auto is_confirmed = [this](const StreamRecord& stream) {
    return process_verifier_.IsConfirmed(stream);
  };
  own_records_.Confirm(is_confirmed);
  kept_records_.Confirm(is_confirmed);
  PrefetchPermissions(now);
  for (const auto& [service, size] : ledger_sizes_) SyncKeepers(service, now);
  SaveDue(now);
  GlobalCounters().streams_kept.Set(static_cast<int64_t>(kept_records_.Size()));
}

bool StreamService::IsScanDue(TimePoint now) const {
  const Duration since = now - scanned_;
  if (registry_.Changes() == scanned_changes_) return since >= kRescanInterval;
  return since >= static_cast<int64_t>(registry_.Size()) * kScanIntervalPerEngine;
}

void StreamService::ScanRegistry(TimePoint now) {
  if (IsScanDue(now)) ScanRegistryNow(now);
}

void StreamService::ScanRegistryNow(TimePoint now) {
  scanned_ = now;
  scanned_changes_ = registry_.Changes();
  registry_.ForEach([this, now](const Backend& backend) {
    if (backend.version.empty()) return;
    history_.NoteListed(backend.service, backend.version, now);
    // Adds services whose ledger is not known yet: they have a version history all the same.
    ledger_sizes_.try_emplace(backend.service, 0);
  });
}

bool StreamService::IsVersioned(const std::string& service) {
  const TimePoint now = Now();
  ScanRegistry(now);
  if (!history_.VersionsOf(service, now).empty()) return true;
  // The list may have come after the last scan: without its versions, a stream could be taken up
  // anywhere.
  if (registry_.Changes() == scanned_changes_) return false;
  ScanRegistryNow(now);
  return !history_.VersionsOf(service, now).empty();
}

// A process can be mistaken for one of another version only where there are several versions.
asio::awaitable<bool> StreamService::IsVersionVerified(std::string service, StreamRecord stream) {
  const TimePoint now = Now();
  if (!IsMixed(service, now)) co_return true;
  const StreamRecord* known = own_records_.Find(stream.key, now);
  if (known == nullptr) known = kept_records_.Find(stream.key, now);
  if (known != nullptr && known->is_confirmed) co_return true;
  co_return co_await process_verifier_.HasRecordedVersion(std::move(stream));
}

asio::awaitable<bool> StreamService::MayContinueAt(Backend backend, TimePoint connected) {
  if (!IsMixed(backend.service, Now())) co_return true;
  co_return co_await process_verifier_.HasListedVersion(std::move(backend), connected);
}

bool StreamService::IsOutOfTouch(TimePoint now) const { return !routing_.IsFresh(now, fresh_for_); }

bool StreamService::IsMixed(const std::string& service, TimePoint now) {
  ScanRegistry(now);
  const auto size = ledger_sizes_.find(service);
  const bool ledger_is_mixed = size != ledger_sizes_.end() && size->second > 1;
  return ledger_is_mixed || history_.IsMixed(service, now);
}

bool StreamService::IsRecording(const std::string& service, TimePoint now) {
  return IsMixed(service, now) || IsOutOfTouch(now);
}

bool StreamService::HasEarlierBuilds() const {
  const auto& peers = peers_.Peers();
  // Includes peers that have ended: they may have started streams.
  return std::any_of(peers.begin(), peers.end(), [](const auto& entry) {
    const bool was_heard = entry.second.status != PeerStatus::kUnheard;
    return was_heard && !entry.second.state.keeps_streams;
  });
}

asio::awaitable<void> StreamService::Note(std::string service, StreamRecord record) {
  const TimePoint now = Now();
  own_records_.Note(service, record, now);
  if (!IsRecording(service, now)) co_return;
  std::vector<std::string> keepers = Keepers(service, now);
  if (keepers.size() > kReplicas) keepers.resize(kReplicas);
  if (std::erase(keepers, "") > 0) AcceptRecord(service, record, now);
  StreamQuestion question;
  question.kind = StreamQuestionKind::kKeep;
  question.service = service;
  question.records = {record};
  const std::optional<StreamAnswer> answer =
      co_await Ask(std::move(keepers), std::move(question), kReplicationTimeout);
  if (!answer.has_value()) GlobalCounters().streams_not_told_total.Add();
}

asio::awaitable<StreamLookup> StreamService::Find(std::string service, StreamKey stream,
                                                  TimePoint deadline) {
  StreamLookup lookup;
  const TimePoint begun = Now();
  const TimePoint last = std::min(deadline, begun + kLookupTimeout);
  const StreamRecord* own = own_records_.Find(stream, begun);
  if (own == nullptr) own = kept_records_.Find(stream, begun);
  StreamAnswer found;
  if (own != nullptr) {
    found = {0, true, *own, VersionSource::kOwnRecord, 0};
  } else {
    StreamQuestion question;
    question.kind = StreamQuestionKind::kFind;
    question.service = service;
    question.stream = stream;
    std::vector<std::string> keepers = Keepers(service, begun);
    const bool is_keeper = std::erase(keepers, "") > 0;
    const std::optional<StreamAnswer> answer =
        co_await Ask(std::move(keepers), std::move(question), last - begun);
    if (answer.has_value()) found = *answer;
    // A keeper, and any node when no keeper answers, looks the stream up itself.
    const bool acts_as_keeper = !found.is_yes && (is_keeper || !answer.has_value());
    if (acts_as_keeper)
      found = co_await FindAsKeeper(service, stream, std::min(deadline, Now() + kLookupTimeout));
  }
  if (!found.is_yes || found.record.version.empty()) co_return lookup;
  if (!co_await IsVersionVerified(service, found.record)) co_return lookup;
  lookup.source = found.source;
  lookup.version = found.record.version;
  if (own == nullptr) own_records_.Note(service, found.record, Now());
  co_return lookup;
}

asio::awaitable<StreamAnswer> StreamService::FindAsKeeper(std::string service, StreamKey stream,
                                                          TimePoint deadline) {
  StreamAnswer answer;
  const StreamRecord* known = kept_records_.Find(stream, Now());
  if (known == nullptr) known = own_records_.Find(stream, Now());
  if (known != nullptr) co_return StreamAnswer{0, true, *known, VersionSource::kPeerRecord, 0};
  if (store_ == nullptr) co_return answer;
  const std::optional<StoredStreams> stored = co_await ReadFresh(service, deadline);
  // The record may have arrived during the read.
  known = kept_records_.Find(stream, Now());
  if (known != nullptr) co_return StreamAnswer{0, true, *known, VersionSource::kPeerRecord, 0};
  if (!stored.has_value()) co_return answer;
  for (const StreamRecord& record : stored->records) {
    if (record.key == stream)
      co_return StreamAnswer{0, true, record, VersionSource::kStoredRecord, 0};
  }
  const std::optional<std::string> only =
      OnlyVersion({stored->ledger, history_.VersionsOf(service, Now()), HasEarlierBuilds()});
  if (!only.has_value()) co_return answer;
  answer.is_yes = true;
  answer.source = VersionSource::kOnlyVersion;
  answer.record.key = stream;
  answer.record.version = *only;
  answer.record.is_confirmed = true;
  answer.record.begun = Now();
  answer.record.until = Now() + kMaxResumeTime;
  co_return answer;
}

// A read that started before the call may have missed what the caller has seen since, so the next
// one is awaited.
asio::awaitable<std::optional<StoredStreams>> StreamService::ReadFresh(std::string service,
                                                                       TimePoint deadline) {
  const int64_t wanted = readers_[service].begun + 1;
  while (readers_[service].ended < wanted && Now() < deadline) {
    if (!readers_[service].is_running) {
      readers_[service].is_running = true;
      ++readers_[service].begun;
      asio::co_spawn(io_, ReadStore(service), asio::detached);
    }
    co_await Pause(kReadPollInterval);
  }
  const StoreReader& reader = readers_[service];
  co_return reader.ended < wanted ? std::nullopt : reader.last;
}

asio::awaitable<void> StreamService::ReadStore(std::string service) {
  const int64_t number = readers_[service].begun;
  const absl::StatusOr<StoredStreams> stored = co_await store_->Read(service);
  StoreReader& reader = readers_[service];
  reader.is_running = false;
  reader.ended = number;
  reader.last = stored.ok() ? std::make_optional(*stored) : std::nullopt;
  if (stored.ok()) co_return;
  Log(LogLevel::kWarning, "streams_not_read",
      {{"service", service}, {"why", std::string(stored.status().message())}});
}

asio::awaitable<std::optional<StreamAnswer>> StreamService::Ask(std::vector<std::string> hosts,
                                                                StreamQuestion question,
                                                                Duration timeout) {
  std::erase(hosts, "");
  if (hosts.empty() || !send_) co_return std::nullopt;
  const uint32_t id = next_question_++;
  question.id = id;
  PendingQuestion pending{Timer(io_), {hosts.begin(), hosts.end()}, std::nullopt};
  pending_questions_[id] = &pending;
  const Datagram datagram = std::move(question);
  for (const Duration wait : {kResendDelay, timeout - kResendDelay}) {
    const std::set<std::string> unanswered = pending.unanswered;
    for (const std::string& host : unanswered) send_(host, datagram);
    pending.timer.expires_after(wait);
    // A wait that ends before `until` without an answer is continued.
    const TimePoint until = Now() + wait;
    while (!pending.yes.has_value() && !pending.unanswered.empty() && Now() < until) {
      boost::system::error_code ignored;
      co_await pending.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (pending.yes.has_value() || pending.unanswered.empty()) break;
  }
  pending_questions_.erase(id);
  if (pending.yes.has_value()) co_return pending.yes;
  co_return pending.some_answered ? std::make_optional(StreamAnswer()) : std::nullopt;
}

void StreamService::OnAnswer(const std::string& host, const StreamAnswer& answer) {
  const auto entry = pending_questions_.find(answer.id);
  if (entry == pending_questions_.end()) return;
  PendingQuestion& pending = *entry->second;
  if (pending.unanswered.erase(host) == 0) return;
  pending.some_answered = true;
  if (answer.is_yes) pending.yes = answer;
  if (answer.is_yes || pending.unanswered.empty()) pending.timer.cancel();
}

void StreamService::OnQuestion(const std::string& host, const StreamQuestion& question) {
  if (!send_) return;
  const TimePoint now = Now();
  switch (question.kind) {
    case StreamQuestionKind::kKeep: {
      for (const StreamRecord& record : question.records)
        AcceptRecord(question.service, record, now);
      StreamAnswer answer;
      answer.id = question.id;
      answer.is_yes = true;
      send_(host, answer);
      break;
    }
    case StreamQuestionKind::kFind:
      asio::co_spawn(io_, AnswerFind(host, question), asio::detached);
      break;
    case StreamQuestionKind::kMayBegin:
      asio::co_spawn(io_, AnswerMayBegin(host, question), asio::detached);
      break;
  }
}

asio::awaitable<void> StreamService::AnswerFind(std::string host, StreamQuestion question) {
  StreamAnswer answer =
      co_await FindAsKeeper(question.service, question.stream, Now() + kLookupTimeout);
  answer.id = question.id;
  send_(host, answer);
}

}  // namespace cartsail
