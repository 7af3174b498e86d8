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

// A question or its answer may be lost: it is sent again after this.
constexpr Duration kFirstPatience = milliseconds(10);
// The first event of a stream waits for no longer.
constexpr Duration kTellPatience = milliseconds(30);
constexpr Duration kFindPatience = milliseconds(300);
constexpr Duration kTick = StallWatch::kInterval;
// What is listed all the time is noted so often.
constexpr Duration kFollowAgain = seconds(10);
// A list of 3,000 engines that changes all the time is gone through ten times a second.
constexpr Duration kFollowedPerEngine = std::chrono::microseconds(33);

}  // namespace

StreamService::StreamService(asio::io_context& io, const PeerTable& peers,
                             const BackendRegistry& registry, const RoutingState& routing,
                             Duration fresh_for)
    : io_(io),
      peers_(peers),
      registry_(registry),
      routing_(routing),
      fresh_for_(fresh_for),
      processes_(io, registry),
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
  processes_.Beat(now);
  FollowRegistry(now);
  own_.Expire(now);
  kept_.Expire(now);
  history_.Expire(now);
  const auto is_confirmed = [this](const StreamRecord& stream) {
    return processes_.IsConfirmed(stream);
  };
  own_.Confirm(is_confirmed);
  kept_.Confirm(is_confirmed);
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

// Only beside another version a process may have been taken for another one's.
asio::awaitable<bool> StreamService::IsVersionVerified(std::string service, StreamRecord stream) {
  const TimePoint now = Now();
  if (!IsMixed(service, now)) co_return true;
  const StreamRecord* known = own_.Find(stream.key, now);
  if (known == nullptr) known = kept_.Find(stream.key, now);
  if (known != nullptr && known->is_confirmed) co_return true;
  co_return co_await processes_.HasRecordedVersion(std::move(stream));
}

asio::awaitable<bool> StreamService::MayContinueAt(Backend backend, TimePoint connected) {
  if (!IsMixed(backend.service, Now())) co_return true;
  co_return co_await processes_.HasListedVersion(std::move(backend), connected);
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
  if (!co_await IsVersionVerified(service, found.record)) co_return lookup;
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

}  // namespace cartsail
