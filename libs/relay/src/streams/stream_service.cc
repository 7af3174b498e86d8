#include "streams/stream_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr char kKeepingPurpose[] = "streams ";
constexpr size_t kKeepersTold = 2;   // of each stream
constexpr size_t kKeepersAsked = 3;  // the ranking may just have changed
// A question or its answer may be lost: it is sent again after this.
constexpr Duration kFirstPatience = milliseconds(10);
// The first event of a stream waits for no longer.
constexpr Duration kTellPatience = milliseconds(30);
constexpr Duration kFindPatience = milliseconds(300);
constexpr Duration kMayBeginPatience = milliseconds(60);
constexpr Duration kRegisterPatience = milliseconds(300);
constexpr Duration kRegisterAgain = milliseconds(200);
constexpr Duration kRenewAgain = seconds(10);
constexpr Duration kTick = StallWatch::kInterval;
// All services together write into the store by as many nodes at most.
constexpr Duration kSaveInterval = milliseconds(250);
constexpr Duration kPruneInterval = std::chrono::minutes(1);
// What is listed all the time is noted so often.
constexpr Duration kFollowAgain = seconds(10);
// A list of 3,000 engines that changes all the time is gone through ten times a second.
constexpr Duration kFollowedPerEngine = std::chrono::microseconds(33);
// From the start of an engine until its entry stands.
constexpr Duration kEntryLag = milliseconds(100);
constexpr Duration kEntryPatience = milliseconds(300);
constexpr Duration kReadPoll = milliseconds(2);
constexpr size_t kRecordsInMessage = 24;  // of 40 bytes: one packet

}  // namespace

StreamService::StreamService(asio::io_context& io, const PeerTable& peers,
                             const BackendRegistry& registry, const RoutingState& routing,
                             Duration fresh_for)
    : io_(io),
      peers_(peers),
      registry_(registry),
      routing_(routing),
      fresh_for_(fresh_for),
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
  stalls_.Beat(now);
  FollowRegistry(now);
  own_.Expire(now);
  kept_.Expire(now);
  history_.Expire(now);
  own_.Confirm([this](const StreamRecord& record) { return IsConfirmed(record); });
  kept_.Confirm([this](const StreamRecord& record) { return IsConfirmed(record); });
  AskAhead(now);
  for (const auto& [service, size] : ledger_sizes_) TellAll(service, now);
  SaveDue(now);
  GlobalCounters().streams_kept.Set(static_cast<int64_t>(kept_.Size()));
}

bool StreamService::IsFollowDue(TimePoint now) const {
  const Duration since = now - followed_;
  if (registry_.Changes() == registry_changes_) return since >= kFollowAgain;
  return since >= static_cast<int64_t>(registry_.Size()) * kFollowedPerEngine;
}

void StreamService::FollowRegistry(TimePoint now) {
  if (!IsFollowDue(now)) return;
  followed_ = now;
  registry_changes_ = registry_.Changes();
  registry_.ForEach([this, now](const Backend& backend) {
    if (backend.version.empty()) return;
    history_.NoteListed(backend.service, backend.version, now);
    // A service whose ledger was not heard of yet has a history all the same.
    ledger_sizes_.try_emplace(backend.service, 0);
  });
}

bool StreamService::IsVersioned(const std::string& service) {
  FollowRegistry(Now());
  return !history_.VersionsOf(service, Now()).empty();
}

// What a node reads after it stood still was written before, and ages told in it have grown since.
void StreamService::NoteListConfirmed(TimePoint then) {
  if (stalls_.IsFresh(Now())) list_confirmed_ = std::max(list_confirmed_, then);
}

bool StreamService::IsListConfirmed(const std::string& id, int64_t started_ms,
                                    TimePoint since) const {
  const Backend* listed = registry_.Find(id);
  return listed != nullptr && listed->started_ms == started_ms &&
         list_confirmed_ - kEntryLag >= since;
}

bool StreamService::IsConfirmed(const StreamRecord& stream) const {
  return stream.is_confirmed || IsListConfirmed(stream.engine, stream.started_ms, stream.begun);
}

asio::awaitable<void> StreamService::ReadInto(std::string id,
                                              std::shared_ptr<EntryReading> reading) {
  reading->entry = co_await read_entry_(std::move(id));
  reading->has_ended = true;
}

asio::awaitable<absl::StatusOr<std::optional<EngineEntry>>> StreamService::ReadNow(std::string id) {
  const TimePoint last = Now() + kEntryPatience;
  auto reading = std::make_shared<EntryReading>();
  asio::co_spawn(io_, ReadInto(id, reading), asio::detached);
  while (!reading->has_ended && Now() < last) co_await Pause(kReadPoll);
  if (reading->has_ended && reading->entry.ok()) co_return reading->entry;
  const std::string why = reading->has_ended ? std::string(reading->entry.status().message())
                                             : std::string("no answer in time");
  Log(LogLevel::kWarning, "engine_entry_not_read", {{"backend", id}, {"why", why}});
  co_return MakeError(ErrorKind::kPlatformUnavailable, why);
}

asio::awaitable<bool> StreamService::IsSure(std::string service, StreamRecord stream) {
  const TimePoint now = Now();
  if (!read_entry_ || !IsMixed(service, now)) co_return true;
  const StreamRecord* known = own_.Find(stream.key, now);
  if (known == nullptr) known = kept_.Find(stream.key, now);
  if (IsConfirmed(stream) || (known != nullptr && known->is_confirmed)) co_return true;
  const milliseconds begun =
      WallNow() - std::chrono::duration_cast<milliseconds>(now - stream.begun);
  const absl::StatusOr<std::optional<EngineEntry>> entry = co_await ReadNow(stream.engine);
  co_return entry.ok() && entry->has_value() && BeganStream(**entry, stream, begun);
}

// One that does not tell its start has another id at each of them: it refuses what is meant for the
// process before.
bool StreamService::IsKnownProcess(const Backend& backend, TimePoint connected) const {
  const bool may_keep_id = backend.started_ms != 0;
  return !may_keep_id || IsListConfirmed(backend.id, backend.started_ms, connected);
}

asio::awaitable<bool> StreamService::IsAsListed(Backend backend, TimePoint connected) {
  if (!read_entry_ || !IsMixed(backend.service, Now())) co_return true;
  if (IsKnownProcess(backend, connected)) co_return true;
  const absl::StatusOr<std::optional<EngineEntry>> entry = co_await ReadNow(backend.id);
  co_return entry.ok() && entry->has_value() && (*entry)->version == backend.version;
}

bool StreamService::IsOutOfTouch(TimePoint now) const { return !routing_.IsFresh(now, fresh_for_); }

bool StreamService::IsMixed(const std::string& service, TimePoint now) {
  FollowRegistry(now);
  const auto size = ledger_sizes_.find(service);
  const bool ledger_is_mixed = size != ledger_sizes_.end() && size->second > 1;
  return ledger_is_mixed || history_.IsMixed(service, now);
}

bool StreamService::IsRecording(const std::string& service, TimePoint now) {
  return IsMixed(service, now) || IsOutOfTouch(now);
}

bool StreamService::HasEarlierBuilds() const {
  const auto& peers = peers_.Peers();
  // Also one that has ended may have begun streams.
  return std::any_of(peers.begin(), peers.end(), [](const auto& entry) {
    const bool was_heard = entry.second.status != PeerStatus::kUnheard;
    return was_heard && !entry.second.state.keeps_streams;
  });
}

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

bool StreamService::IsPermitted(const ServiceVersion& version, TimePoint now) const {
  const auto permitted = permitted_.find(version);
  return permitted != permitted_.end() && now < permitted->second;
}

void StreamService::Permit(const ServiceVersion& version, uint32_t ledger_size, TimePoint until) {
  TimePoint& known = permitted_[version];
  if (known < Now()) {
    Log(LogLevel::kInfo, "version_permitted",
        {{"service", version.first},
         {"version", version.second},
         {"versions", std::to_string(ledger_size)}});
  }
  known = std::max(known, until);
  if (ledger_size > 0) ledger_sizes_[version.first] = ledger_size;
}

// Requests find the permission there.
void StreamService::AskAhead(TimePoint now) {
  if (store_ == nullptr || routing_.Table() == nullptr) return;
  std::set<std::string> services;
  for (const RouteRule& route : routing_.Table()->Document().routes) {
    if (route.kind != RequestKind::kStream || !route.resumable) continue;
    for (const ServiceShare& share : route.shares) services.insert(share.service);
  }
  for (const std::string& service : services) {
    for (const std::string& version : history_.VersionsOf(service, now)) {
      const ServiceVersion wanted{service, version};
      if (IsPermitted(wanted, now + kPermissionHolds / 2)) continue;
      Registration& registration = registrations_[wanted];
      if (now < registration.not_before) continue;
      registration.not_before = now + (IsPermitted(wanted, now) ? kRenewAgain : kRegisterAgain);
      asio::co_spawn(io_, AskAheadFor(service, version), asio::detached);
    }
  }
}

asio::awaitable<void> StreamService::AskAheadFor(std::string service, std::string version) {
  (void)co_await AskWhetherMayBegin(std::move(service), std::move(version));
}

asio::awaitable<bool> StreamService::MayBegin(std::string service, std::string version) {
  // An engine whose version is not known: what is begun there cannot go on.
  if (store_ == nullptr || version.empty()) co_return true;
  if (IsPermitted({service, version}, Now())) co_return true;
  co_return co_await AskWhetherMayBegin(service, version);
}

asio::awaitable<bool> StreamService::AskWhetherMayBegin(std::string service, std::string version) {
  const ServiceVersion wanted{service, version};
  const TimePoint asked = Now();
  const std::vector<std::string> keepers = Keepers(service, asked);
  const std::optional<size_t> rank = OwnRank(keepers);
  if (rank != 0U) {
    StreamQuestion question;
    question.kind = StreamQuestionKind::kMayBegin;
    question.service = service;
    question.version = version;
    const std::optional<StreamAnswer> answer =
        co_await Ask(keepers, std::move(question), kMayBeginPatience);
    if (answer.has_value() && answer->is_yes) {
      // What a keeper was told earlier holds no longer for being handed on.
      Permit(wanted, answer->ledger_size, asked + answer->holds);
      co_return true;
    }
    // Were all nodes to ask a store that does not answer the keepers, it would not come back.
    if (answer.has_value() && !rank.has_value()) co_return false;
  }
  co_return co_await RegisterHere(service, version, Now() + kRegisterPatience);
}

asio::awaitable<bool> StreamService::RegisterHere(std::string service, std::string version,
                                                  TimePoint deadline) {
  const ServiceVersion wanted{service, version};
  if (store_ == nullptr) co_return false;
  if (!registrations_[wanted].is_running) {
    registrations_[wanted].is_running = true;
    asio::co_spawn(io_, Register(service, version), asio::detached);
  }
  while (registrations_[wanted].is_running && Now() < deadline) co_await Pause(kReadPoll);
  co_return IsPermitted(wanted, Now());
}

asio::awaitable<void> StreamService::Register(std::string service, std::string version) {
  const TimePoint asked = Now();
  const absl::StatusOr<VersionLedger> ledger = co_await store_->Register(service, version);
  registrations_[{service, version}].is_running = false;
  if (ledger.ok()) {
    Permit({service, version}, static_cast<uint32_t>(ledger->Versions().size()),
           asked + kPermissionHolds);
    co_return;
  }
  Log(LogLevel::kWarning, "version_not_registered",
      {{"service", service},
       {"version", version},
       {"why", std::string(ledger.status().message())}});
}

asio::awaitable<void> StreamService::Note(std::string service, StreamRecord record) {
  const TimePoint now = Now();
  own_.Note(service, record, now);
  if (!IsRecording(service, now)) co_return;
  std::vector<std::string> keepers = Keepers(service, now);
  if (keepers.size() > kKeepersTold) keepers.resize(kKeepersTold);
  if (std::erase(keepers, "") > 0) Keep(service, record, now);
  StreamQuestion question;
  question.kind = StreamQuestionKind::kKeep;
  question.service = service;
  question.records = {record};
  const std::optional<StreamAnswer> answer =
      co_await Ask(std::move(keepers), std::move(question), kTellPatience);
  if (!answer.has_value()) GlobalCounters().streams_not_told_total.Add();
}

asio::awaitable<StreamLookup> StreamService::Find(std::string service, StreamKey stream,
                                                  TimePoint deadline) {
  StreamLookup lookup;
  const TimePoint begun = Now();
  const TimePoint last = std::min(deadline, begun + kFindPatience);
  const StreamRecord* own = own_.Find(stream, begun);
  if (own == nullptr) own = kept_.Find(stream, begun);
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
    // Where no keeper is to be had, this node is as good as one.
    const bool asks_itself = !found.is_yes && (is_keeper || !answer.has_value());
    if (asks_itself)
      found = co_await FindHere(service, stream, std::min(deadline, Now() + kFindPatience));
  }
  if (!found.is_yes || found.record.version.empty()) co_return lookup;
  if (!co_await IsSure(service, found.record)) co_return lookup;
  lookup.source = found.source;
  lookup.version = found.record.version;
  if (own == nullptr) own_.Note(service, found.record, Now());
  co_return lookup;
}

asio::awaitable<StreamAnswer> StreamService::FindHere(std::string service, StreamKey stream,
                                                      TimePoint deadline) {
  StreamAnswer answer;
  const StreamRecord* known = kept_.Find(stream, Now());
  if (known == nullptr) known = own_.Find(stream, Now());
  if (known != nullptr) co_return StreamAnswer{0, true, *known, VersionSource::kPeerRecord, 0};
  if (store_ == nullptr) co_return answer;
  const std::optional<StoredStreams> stored = co_await ReadFresh(service, deadline);
  // Told meanwhile.
  known = kept_.Find(stream, Now());
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
  answer.record.until = Now() + kLongestStream;
  co_return answer;
}

// A reading that had begun before may have missed what the caller saw since.
asio::awaitable<std::optional<StoredStreams>> StreamService::ReadFresh(std::string service,
                                                                       TimePoint deadline) {
  const int64_t wanted = readers_[service].begun + 1;
  while (readers_[service].ended < wanted && Now() < deadline) {
    if (!readers_[service].is_running) {
      readers_[service].is_running = true;
      ++readers_[service].begun;
      asio::co_spawn(io_, ReadStore(service), asio::detached);
    }
    co_await Pause(kReadPoll);
  }
  const Reader& reader = readers_[service];
  co_return reader.ended < wanted ? std::nullopt : reader.last;
}

asio::awaitable<void> StreamService::ReadStore(std::string service) {
  const int64_t number = readers_[service].begun;
  const absl::StatusOr<StoredStreams> stored = co_await store_->Read(service);
  Reader& reader = readers_[service];
  reader.is_running = false;
  reader.ended = number;
  reader.last = stored.ok() ? std::make_optional(*stored) : std::nullopt;
  if (stored.ok()) co_return;
  Log(LogLevel::kWarning, "streams_not_read",
      {{"service", service}, {"why", std::string(stored.status().message())}});
}

asio::awaitable<std::optional<StreamAnswer>> StreamService::Ask(std::vector<std::string> hosts,
                                                                StreamQuestion question,
                                                                Duration patience) {
  std::erase(hosts, "");
  if (hosts.empty() || !send_) co_return std::nullopt;
  const uint32_t id = next_question_++;
  question.id = id;
  Waiting waiting{Timer(io_), {hosts.begin(), hosts.end()}, std::nullopt};
  waiting_[id] = &waiting;
  const Datagram datagram = std::move(question);
  for (const Duration wait : {kFirstPatience, patience - kFirstPatience}) {
    const std::set<std::string> unanswered = waiting.unanswered;
    for (const std::string& host : unanswered) send_(host, datagram);
    waiting.timer.expires_after(wait);
    // Each wait may end early without an answer: timers are bounded.
    const TimePoint until = Now() + wait;
    while (!waiting.yes.has_value() && !waiting.unanswered.empty() && Now() < until) {
      boost::system::error_code ignored;
      co_await waiting.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (waiting.yes.has_value() || waiting.unanswered.empty()) break;
  }
  waiting_.erase(id);
  if (waiting.yes.has_value()) co_return waiting.yes;
  co_return waiting.some_answered ? std::make_optional(StreamAnswer()) : std::nullopt;
}

void StreamService::OnAnswer(const std::string& host, const StreamAnswer& answer) {
  const auto entry = waiting_.find(answer.id);
  if (entry == waiting_.end()) return;
  Waiting& waiting = *entry->second;
  if (waiting.unanswered.erase(host) == 0) return;
  waiting.some_answered = true;
  if (answer.is_yes) waiting.yes = answer;
  if (answer.is_yes || waiting.unanswered.empty()) waiting.timer.cancel();
}

void StreamService::OnQuestion(const std::string& host, const StreamQuestion& question) {
  if (!send_) return;
  const TimePoint now = Now();
  switch (question.kind) {
    case StreamQuestionKind::kKeep: {
      for (const StreamRecord& record : question.records) Keep(question.service, record, now);
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
  StreamAnswer answer = co_await FindHere(question.service, question.stream, Now() + kFindPatience);
  answer.id = question.id;
  send_(host, answer);
}

asio::awaitable<void> StreamService::AnswerMayBegin(std::string host, StreamQuestion question) {
  const ServiceVersion wanted{question.service, question.version};
  StreamAnswer answer;
  answer.id = question.id;
  answer.is_yes = IsPermitted(wanted, Now() + kPermissionHolds / 2);
  if (!answer.is_yes) {
    answer.is_yes =
        co_await RegisterHere(question.service, question.version, Now() + kRegisterPatience);
  }
  if (answer.is_yes) {
    answer.ledger_size = ledger_sizes_[question.service];
    answer.holds = permitted_[wanted] - Now();
  }
  send_(host, answer);
}

}  // namespace cartsail
