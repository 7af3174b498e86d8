#include "chat_session.h"

#include <fmt/format.h>

#include <algorithm>

#include "cartsail/base/counters.h"
#include "cartsail/base/hash.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr size_t kPrefixCharacters = 256;
constexpr int kMaxFruitlessAttempts = 16;
// An engine that sends nothing for as long is silent: another one is sought.
constexpr Duration kHeadSilence = seconds(5);
constexpr Duration kFirstTokenSilence = seconds(60);
constexpr Duration kTokenSilence = seconds(10);

// The start of the conversation, which engines may hold in their prefix cache.
uint64_t PrefixHash(const json::array& messages) {
  std::string prefix;
  for (const json::value& message : messages) {
    if (!message.is_object()) continue;
    prefix += GetString(message.as_object(), "content");
    if (prefix.size() >= kPrefixCharacters) break;
  }
  if (prefix.size() < kPrefixCharacters) return 0;
  return Hash64(std::string_view(prefix).substr(0, kPrefixCharacters));
}

}  // namespace

absl::StatusOr<ChatRequest> ParseChatRequest(const std::string& body) {
  absl::StatusOr<json::object> object = ParseJsonObject(body);
  if (!object.ok()) return object.status();
  ChatRequest request;
  request.model = GetString(*object, "model");
  if (request.model.empty()) {
    return MakeError(ErrorKind::kMalformedRequest, "\"model\" is missing");
  }
  const json::array* messages = GetArray(*object, "messages");
  if (messages == nullptr || messages->empty()) {
    return MakeError(ErrorKind::kMalformedRequest, "\"messages\" is missing or empty");
  }
  for (const json::value& message : *messages) {
    if (!message.is_object() || !message.as_object().contains("content")) {
      return MakeError(ErrorKind::kMalformedRequest, "a message needs a role and a content");
    }
  }
  request.stream = GetBool(*object, "stream");
  request.prefix_hash = PrefixHash(*messages);
  request.body = std::move(*object);
  return request;
}

ChatSession::ChatSession(asio::any_io_executor executor, HttpConnectionPool& pool,
                         ControlPlane& control, HttpExchange& exchange, const Caller& caller,
                         ChatRequest request)
    : executor_(executor),
      pool_(pool),
      exchange_(exchange),
      caller_(caller),
      request_(std::move(request)),
      work_(executor, control, caller, request_.model, request_.prefix_hash),
      grace_timer_(executor),
      silence_timer_(executor) {
  signals_->session = this;
}

ChatSession::~ChatSession() {
  signals_->stream = nullptr;
  signals_->session = nullptr;
}

asio::awaitable<void> ChatSession::Run() {
  exchange_.WatchPeer([this] { OnCallerGone(); });
  const absl::Status status = co_await RunAttempts();
  exchange_.WatchPeer(nullptr);
  if (status.ok()) {
    GlobalCounters().requests_completed_total.Add();
    co_return;
  }
  if (signals_->caller_gone || KindOf(status) == ErrorKind::kSuperseded) {
    GlobalCounters().callers_gone_total.Add();
    exchange_.Abort();
    co_return;
  }
  co_await Fail(status);
}

asio::awaitable<absl::Status> ChatSession::RunAttempts() {
  SlotPurpose purpose = SlotPurpose::kFirst;
  absl::Status failure;
  while (true) {
    absl::Status status = co_await TakeSlot(purpose);
    // A refused retry is told as the failure that made it necessary.
    if (!status.ok()) co_return work_.RetryDenied() ? failure : status;
    status = co_await work_.PrepareAttempt();
    if (!status.ok()) {
      work_.Release(SlotEnd::kCancelled, {.started = false});
      co_return status;
    }
    if (signals_->IsPreempted()) {
      // Taken back while the grant was still on its way here: nothing was sent yet.
      work_.Release(SlotEnd::kCancelled, {.started = false});
      purpose = SlotPurpose::kContinuation;
      continue;
    }
    status = co_await RunAttempt();
    if (status.ok()) co_return status;
    const std::optional<SlotPurpose> next = NextPurpose(status);
    if (!next.has_value()) co_return status;
    purpose = *next;
    failure = status;
    if (delivered_tokens_ > 0) GlobalCounters().continuations_total.Add();
  }
}

// Whether and why another attempt is made after one ended with `status`.
std::optional<SlotPurpose> ChatSession::NextPurpose(const absl::Status& status) {
  if (signals_->caller_gone || work_.TimeLeft() == Duration(0)) return std::nullopt;
  if (!work_.MayTryAgain()) return std::nullopt;
  switch (KindOf(status)) {
    case ErrorKind::kPreempted:
      return SlotPurpose::kContinuation;
    case ErrorKind::kConnectFailed:
    case ErrorKind::kBackendRefused:
      if (++fruitless_attempts_ > kMaxFruitlessAttempts) return std::nullopt;
      return SlotPurpose::kContinuation;
    case ErrorKind::kConnectionLost:
    case ErrorKind::kTimeout:
    case ErrorKind::kBackendFailed:
      return SlotPurpose::kRetry;
    default:
      return std::nullopt;
  }
}

asio::awaitable<absl::Status> ChatSession::TakeSlot(SlotPurpose purpose) {
  if (work_.HasReplacement()) {
    work_.TakeReplacement();
    signals_->slot = replacement_slot_;
    co_return absl::OkStatus();
  }
  signals_->slot = ++slots_asked_;
  co_return co_await work_.Acquire(purpose, PreemptFunction(signals_->slot));
}

std::function<void()> ChatSession::PreemptFunction(int slot) {
  return [signals = signals_, slot] {
    signals->preempted.insert(slot);
    if (signals->slot == slot && signals->stream != nullptr) signals->stream->Close();
  };
}

void ChatSession::StartSilenceWatch(Duration limit) {
  work_.DropReplacement();
  if (!work_.Policy().repeatable || signals_->caller_gone) return;
  silence_limit_ = limit;
  ArmSilenceTimer();
}

void ChatSession::EndSilenceWatch() {
  silence_timer_.expires_at(TimePoint::max());
  work_.DropReplacement();
}

void ChatSession::ArmSilenceTimer() {
  silence_timer_.expires_after(silence_limit_);
  silence_timer_.async_wait([signals = signals_](const boost::system::error_code& error) {
    if (!error && signals->session != nullptr) signals->session->OnSilence();
  });
}

void ChatSession::OnSilence() {
  // The wait may have ended just before data arrived.
  const bool is_outdated = Now() < silence_timer_.expiry();
  if (is_outdated || signals_->stream == nullptr || work_.HasReplacement()) return;
  if (!work_.IsSeekingReplacement()) {
    replacement_slot_ = ++slots_asked_;
    const auto leave = [signals = signals_] {
      if (signals->stream != nullptr) signals->stream->Close();
    };
    work_.SeekReplacement(PreemptFunction(replacement_slot_), leave);
  }
  ArmSilenceTimer();
}

asio::awaitable<absl::Status> ChatSession::RunAttempt() {
  EngineStream stream(pool_, work_.Slot().endpoint);
  AttemptMeter meter(work_.GrantTime());
  EngineCall call;
  call.endpoint = work_.Slot().endpoint;
  call.body = AttemptBody();
  call.attempt = work_.Attempt();
  call.owner = caller_.OwnerTag();
  call.priority = work_.Policy().tier;
  call.fresh_connection = !work_.Policy().repeatable;
  call.head_timeout = work_.TimeLeft();
  signals_->stream = &stream;
  StartSilenceWatch(kHeadSilence);
  absl::Status status = co_await stream.Open(call);
  if (status.ok()) status = co_await ReadAnswer(stream, meter);
  signals_->stream = nullptr;
  // A replacement that is held takes over from an attempt that was ended for it.
  if (status.ok() || !work_.HasReplacement()) EndSilenceWatch();
  work_.NoteState(stream.State());
  co_return co_await EndAttempt(stream, std::move(status), meter);
}

asio::awaitable<absl::Status> ChatSession::ReadAnswer(EngineStream& stream, AttemptMeter& meter) {
  bool first = true;
  while (true) {
    StartSilenceWatch(first ? kFirstTokenSilence : kTokenSilence);
    absl::StatusOr<std::optional<EngineEvent>> event = co_await stream.Next(work_.TimeLeft());
    if (!event.ok()) co_return event.status();
    EndSilenceWatch();
    if (!event->has_value()) co_return absl::OkStatus();
    const EngineEvent& current = **event;
    absl::Status status;
    if (current.kind == EngineEvent::Kind::kToken) {
      meter.NoteToken(Now());
      first = false;
      status = co_await Deliver(current);
    } else {
      status = co_await DeliverFinish(current);
    }
    if (!status.ok() && !signals_->caller_gone) OnCallerGone();
    if (signals_->caller_gone && ResumeGrace() == Duration(0)) {
      co_return MakeError(ErrorKind::kCancelled, "the caller has gone");
    }
  }
}

asio::awaitable<absl::Status> ChatSession::Deliver(const EngineEvent& event) {
  delivered_text_ += event.text;
  ++delivered_tokens_;
  GlobalCounters().tokens_delivered_total.Add();
  if (!request_.stream || signals_->caller_gone) co_return absl::OkStatus();
  if (!began_) {
    const absl::Status status = co_await BeginAnswer();
    if (!status.ok()) co_return status;
  }
  SseEvent out;
  out.id = fmt::format("{}:{}", work_.StreamId(), event.offset);
  out.data = event.data;
  const std::string text = FormatSse(out);
  co_return co_await exchange_.Write(text);
}

asio::awaitable<absl::Status> ChatSession::DeliverFinish(const EngineEvent& event) {
  const bool last = event.finish_reason.empty();
  if (!last) finish_reason_ = event.finish_reason;
  if (signals_->caller_gone) co_return absl::OkStatus();
  if (request_.stream) {
    if (!began_) {
      const absl::Status status = co_await BeginAnswer();
      if (!status.ok()) co_return status;
    }
    SseEvent out;
    out.data = event.data;
    const std::string text = FormatSse(out);
    const absl::Status status = co_await exchange_.Write(text);
    if (!status.ok() || !last) co_return status;
    co_return co_await exchange_.EndStream();
  }
  if (!last) co_return absl::OkStatus();
  json::object message{{"role", "assistant"}, {"content", delivered_text_}};
  json::object choice{
      {"index", 0}, {"message", std::move(message)}, {"finish_reason", finish_reason_}};
  json::object usage{{"completion_tokens", delivered_tokens_}};
  json::object answer{{"id", work_.StreamId()},
                      {"object", "chat.completion"},
                      {"model", request_.model},
                      {"choices", json::array{std::move(choice)}},
                      {"usage", std::move(usage)}};
  HttpResponse response;
  response.headers = {{"Content-Type", "application/json"}, {"X-Stream-Id", work_.StreamId()}};
  response.body = json::serialize(answer);
  co_return co_await exchange_.Respond(std::move(response));
}

asio::awaitable<absl::Status> ChatSession::BeginAnswer() {
  began_ = true;
  HttpHeaders headers = {{"Content-Type", "text/event-stream"},
                         {"Cache-Control", "no-store"},
                         {"X-Stream-Id", work_.StreamId()}};
  co_return co_await exchange_.BeginStream(200, std::move(headers));
}

// Gives the slot back, stops the engine where the answer is not wanted any more, and names the end.
asio::awaitable<absl::Status> ChatSession::EndAttempt(EngineStream& stream, absl::Status status,
                                                      const AttemptMeter& meter) {
  const ServiceReport report = meter.Report(stream.State() == RunState::kStarted);
  const std::string engine = work_.Slot().engine;
  if (status.ok()) {
    work_.Release(SlotEnd::kServed, report);
    co_return status;
  }
  const ErrorKind kind = KindOf(status);
  if (kind == ErrorKind::kSuperseded) {
    work_.Release(SlotEnd::kCancelled, report);
    co_return status;
  }
  const bool timed_out = work_.TimeLeft() == Duration(0);
  if (signals_->IsPreempted() || signals_->caller_gone || timed_out) {
    if (stream.State() != RunState::kNotStarted) {
      GlobalCounters().engine_cancels_total.Add();
      co_await CancelStream(executor_, work_.Slot().endpoint, work_.Attempt());
    }
    work_.Release(SlotEnd::kCancelled, report);
    if (signals_->caller_gone) co_return MakeError(ErrorKind::kCancelled, "the caller has gone");
    if (timed_out) co_return MakeError(ErrorKind::kTimeout, "the answer took too long");
    co_return MakeError(ErrorKind::kPreempted, "the slot was taken back for a higher tier");
  }
  switch (kind) {
    case ErrorKind::kMalformedRequest:
      work_.Release(SlotEnd::kServed, report);
      break;
    case ErrorKind::kBackendRefused:
      work_.Release(stream.Leaving() ? SlotEnd::kLeaving : SlotEnd::kRefused, report);
      work_.Exclude(engine);
      break;
    default:
      work_.Release(SlotEnd::kFailed, report);
      work_.Exclude(engine);
      break;
  }
  co_return status;
}

asio::awaitable<void> ChatSession::Fail(absl::Status status) {
  Failure failure = work_.Describe(std::move(status));
  if (began_) failure.outcome = Outcome::kPartial;
  CountFailure(failure);
  if (!began_) {
    co_await exchange_.Respond(FailureResponse(failure));
    co_return;
  }
  const std::string text = FailureEvent(failure);
  co_await exchange_.Write(text);
  co_await exchange_.EndStream();
}

void ChatSession::OnCallerGone() {
  signals_->caller_gone = true;
  EndSilenceWatch();
  work_.CallerGone();
  const Duration grace = ResumeGrace();
  if (grace == Duration(0)) {
    if (signals_->stream != nullptr) signals_->stream->Close();
    return;
  }
  // The engine goes on; another node may take the stream over meanwhile.
  grace_timer_.expires_after(grace);
  grace_timer_.async_wait([signals = signals_](const boost::system::error_code& error) {
    if (!error && signals->stream != nullptr) signals->stream->Close();
  });
}

// A caller can only come back to a stream whose id it may know.
Duration ChatSession::ResumeGrace() const {
  const bool knows_stream = began_ || !caller_.idempotency_key.empty();
  return knows_stream ? work_.Policy().resume_grace : Duration(0);
}

// The caller's request as sent to an engine; a continuation carries the text delivered so far.
std::string ChatSession::AttemptBody() const {
  json::object body = request_.body;
  body["stream"] = true;
  if (delivered_tokens_ > 0) {
    json::object partial{{"role", "assistant"}, {"content", delivered_text_}};
    body["messages"].as_array().push_back(std::move(partial));
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
    if (body.contains("max_tokens")) {
      body["max_tokens"] = GetInt(request_.body, "max_tokens") - delivered_tokens_;
    }
  }
  return json::serialize(body);
}

}  // namespace cartsail
