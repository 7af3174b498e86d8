// Forwards a back end's answer to the caller: finds the head that answers the request, then relays
// a buffered body or a stream.
#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/text.h"
#include "request/answer_notices.h"
#include "request/buffered_body.h"
#include "request/event_splitter.h"
#include "request/exchange.h"
#include "request/message_head.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr int kMaxStaleAnswers = 3;  // discarded on one connection
// Of one answer that is discarded. A back end may send bytes without end.
constexpr size_t kMaxDiscardedBytes = 1 << 20;
// For the rest of a refusal, which is read only to keep the connection.
constexpr Duration kRefusalBodyTime = milliseconds(200);

constexpr std::string_view kEventStreamType = "text/event-stream";

std::string_view MediaTypeOf(const ResponseHead& head) {
  const std::string_view type = head.Header("Content-Type");
  return Trimmed(type.substr(0, type.find(';')));
}

bool IsEventStream(const ResponseHead& head) {
  return EqualsIgnoreCase(MediaTypeOf(head), kEventStreamType);
}

ContentEnd ContentEndOf(const EventScanner& events) {
  if (events.IsInsideEvent()) return ContentEnd::kInsideEvent;
  return events.HasEvent() ? ContentEnd::kBetweenEvents : ContentEnd::kNoEvent;
}

}  // namespace

asio::awaitable<UpstreamError> Exchange::ReadBody(std::string* chunk,
                                                  std::optional<Duration> silence_timeout) {
  co_return co_await ReadBodyUntil(deadline_, chunk, silence_timeout);
}

asio::awaitable<UpstreamError> Exchange::ReadBodyUntil(TimePoint deadline, std::string* chunk,
                                                       std::optional<Duration> silence_timeout) {
  waiting_since_ = Now();
  silence_timeout_ = silence_timeout;
  is_reading_ = true;
  const UpstreamError error = co_await upstream_->ReadBody(chunk, deadline);
  is_reading_ = false;
  // Data that arrived after the decision to move comes again from the next back end.
  if (replacement_ != nullptr) co_return UpstreamError::kBroken;
  if (error == UpstreamError::kNone && is_answering_) DropCandidate();
  co_return error;
}

// A connection on which the rest of an answer was not read is closed at the end of the attempt.
asio::awaitable<AttemptOutcome> Exchange::DiscardAnswer(TimePoint deadline) {
  std::string chunk;
  size_t discarded = 0;
  do {
    const UpstreamError error = co_await ReadBodyUntil(deadline, &chunk);
    if (error != UpstreamError::kNone) co_return OutcomeOf(error);
    discarded += chunk.size();
    if (discarded > kMaxDiscardedBytes) co_return AttemptOutcome::kSpoilt;
  } while (!chunk.empty());
  co_return AttemptOutcome::kAnswered;
}

// Reads heads until one that answers this request; other heads answer earlier requests on the same
// connection.
asio::awaitable<AttemptOutcome> Exchange::ReadMatchingHead(const Placement& placement,
                                                           ResponseHead* head) {
  const bool is_head_request = request_.method == "HEAD";
  const TimePoint begun = Now();
  for (int i = 0; i <= kMaxStaleAnswers; ++i) {
    waiting_since_ = begun;
    silence_timeout_ = FirstOutputTimeout(placement);
    is_reading_ = true;
    const UpstreamError error = co_await upstream_->ReadHead(head, is_head_request, deadline_);
    is_reading_ = false;
    if (replacement_ != nullptr) co_return OutcomeOf(UpstreamError::kBroken);
    if (error != UpstreamError::kNone) co_return OutcomeOf(error);
    const std::string_view id = head->Header(context_.format.Names().request_id);
    // An answer to an earlier request is recorded too: it comes from the same back end.
    const TimePoint asked = id == request_id_ ? sent_ : TimePoint();
    NoteAnswer(context_, placement.backend, {head->status, head->headers, asked});
    if (id == request_id_) {
      has_matching_head_ = true;
      // A failure or refusal does not end the other back end's attempt.
      is_answering_ = IsSuccess(head->status);
      if (is_answering_) DropCandidate();
      if (retry_ != nullptr) retry_->Close(std::max(Now(), in_transit_until_));
      co_return AttemptOutcome::kAnswered;
    }
    // Back ends may send an answer twice. Without an id, the second one could not be told from the
    // answer to the next request on this connection.
    if (id.empty()) upstream_->ForbidReuse();
    // So an answer without an id is this request's, by a back end that has not read its id.
    const bool refused = !head->Header(context_.format.Names().not_run).empty();
    if (id.empty() && (refused || head->status == 421)) co_return AttemptOutcome::kAnswered;
    const AttemptOutcome skipped = co_await DiscardAnswer(deadline_);
    if (skipped != AttemptOutcome::kAnswered) co_return skipped;
  }
  co_return AttemptOutcome::kSpoilt;
}

void Exchange::NoteAnswerHead(const ResponseHead& head) {
  answer_.status = head.status;
  answer_.retry_after = std::string(head.Header("Retry-After"));
  answer_.leaving = !head.Header(context_.format.Names().leaving).empty();
  answer_.rate_limit = std::string(head.Header(context_.format.Names().rate_limit));
}

asio::awaitable<AttemptOutcome> Exchange::ExchangeWithBackend(const Placement& placement) {
  ResponseHead head;
  const AttemptOutcome outcome = co_await ReadMatchingHead(placement, &head);
  if (outcome != AttemptOutcome::kAnswered) co_return outcome;
  NoteAnswerHead(head);
  answer_end_.emplace();
  const AttemptOutcome relayed = co_await RelayAnswer(placement, head);
  NoteReadingEnd();
  co_return relayed;
}

void Exchange::NoteReadingEnd() {
  BodyEvidence& evidence = answer_end_->evidence;
  evidence.framing = upstream_->Framing();
  evidence.reading = upstream_->HowReadingEnded();
}

AttemptOutcome Exchange::OutcomeOfBody() {
  NoteReadingEnd();
  switch (JudgeBodyEnd(answer_end_->evidence)) {
    case BodyEnd::kWhole:
      break;
    case BodyEnd::kUnknown:
      GlobalCounters().answers_ended_by_connection_total.Add();
      break;
    case BodyEnd::kBrokenOff:
      GlobalCounters().answers_broken_off_total.Add();
      return AttemptOutcome::kCut;
  }
  return AttemptOutcome::kAnswered;
}

asio::awaitable<AttemptOutcome> Exchange::RelayAnswer(const Placement& placement,
                                                      const ResponseHead& head) {
  const WireNames& names = context_.format.Names();
  const bool is_misdirected = head.status == 421;
  if (!is_misdirected) context_.quarantine.NoteAnswered(placement.backend.key, sent_);
  if (is_misdirected || !head.Header(names.not_run).empty()) {
    (void)co_await DiscardAnswer(std::min<TimePoint>(deadline_, Now() + kRefusalBodyTime));
    co_return is_misdirected ? AttemptOutcome::kWrongInstance : AttemptOutcome::kRefused;
  }
  const bool signed_answer = !head.Header(names.signature).empty();
  if (IsSuccess(head.status)) {
    if (!signed_answer || !head.Header("Content-Encoding").empty()) {
      co_return AttemptOutcome::kSpoilt;
    }
    const bool has_body = upstream_->Framing() != BodyFraming::kNone;
    if (admitted_.route->kind == RequestKind::kStream && has_body)
      co_return co_await RelayStream(placement, head);
  }
  if (signed_answer) NoteRun(Now());
  co_return co_await RelayWhole(placement, head);
}

asio::awaitable<AttemptOutcome> Exchange::RelayWhole(const Placement& placement,
                                                     const ResponseHead& head) {
  BufferedBody body(memory_);
  EventScanner events;
  std::string chunk;
  bool is_buffering = true;
  do {
    const UpstreamError error = co_await ReadBody(&chunk);
    if (error != UpstreamError::kNone) co_return OutcomeOf(error);
    NoteFirstOutput(Now());
    NoteBody(head, chunk, &events);
    const TimePoint now = Now();
    context_.placement.Output(placement.ticket, now);
    is_buffering = body.Append(chunk, now);
  } while (!chunk.empty() && is_buffering);
  if (chunk.empty()) {
    const AttemptOutcome outcome = OutcomeOfBody();
    if (outcome != AttemptOutcome::kAnswered) co_return outcome;
  }

  const bool failed = head.status >= kMinFailureStatus;
  const bool may_retry = candidate_ != nullptr ||
                         (IsRetryable() && history_.may_have_run < admitted_.route->max_attempts);
  if (failed && (may_retry || head_sent_)) co_return AttemptOutcome::kFailedAnswer;
  if (head_sent_) co_return AttemptOutcome::kSpoilt;  // a continuation must not send a second head
  DropCandidate();

  HttpHeaders headers = EndToEndHeaders(head.headers, {});
  if (chunk.empty()) {
    const bool sent = co_await AnswerWhole(head, std::move(headers), body.Bytes());
    co_return sent ? AttemptOutcome::kAnswered : AttemptOutcome::kCallerGone;
  }
  // Too large to buffer: the rest is forwarded as it arrives.
  bound_to_backend_ = true;
  if (!co_await StartStreamAnswer(head)) co_return AttemptOutcome::kCallerGone;
  while (!body.Bytes().IsEmpty()) {
    const std::string block = body.TakeFirst();
    if (!co_await writer_->Write(ChunkText(block, false))) co_return AttemptOutcome::kCallerGone;
  }
  while (!chunk.empty()) {
    const UpstreamError error = co_await ReadBody(&chunk);
    if (error != UpstreamError::kNone) co_return OutcomeOf(error);
    if (chunk.empty()) break;
    NoteBody(head, chunk, &events);
    if (!co_await writer_->Write(ChunkText(chunk, false))) co_return AttemptOutcome::kCallerGone;
  }
  const AttemptOutcome outcome = OutcomeOfBody();
  if (outcome != AttemptOutcome::kAnswered) co_return outcome;
  if (!co_await writer_->Write(ChunkText({}, true))) co_return AttemptOutcome::kCallerGone;
  co_return AttemptOutcome::kAnswered;
}

// Sends the first block together with the head. A large body is not copied into one string.
asio::awaitable<bool> Exchange::AnswerWhole(const ResponseHead& head, HttpHeaders headers,
                                            const ByteBlocks& body) {
  const std::deque<std::string>& blocks = body.Blocks();
  const std::string_view first = blocks.empty() ? std::string_view() : blocks.front();
  if (!co_await Answer(head.status, head.reason, std::move(headers), first, body.Size())) {
    co_return false;
  }
  if (request_.method == "HEAD") co_return true;
  for (size_t i = 1; i < blocks.size(); ++i) {
    if (!co_await writer_->Write(blocks[i])) co_return false;
  }
  co_return true;
}

asio::awaitable<bool> Exchange::StartStreamAnswer(const ResponseHead& head) {
  HttpHeaders headers = EndToEndHeaders(head.headers, {});
  headers.push_back({"Transfer-Encoding", "chunked"});
  if (context_.draining) keep_alive_ = false;
  if (!keep_alive_) headers.push_back({"Connection", "close"});
  head_sent_ = true;
  status_sent_ = head.status;
  co_return co_await writer_->Write(ResponseHeadText(head.status, head.reason, headers));
}

void Exchange::NoteFirstOutput(TimePoint now) {
  if (has_output_) return;
  has_output_ = true;
  attempt_output_ = now;
}

// For an event stream, the content also tells whether the answer is complete.
void Exchange::NoteBody(const ResponseHead& head, std::string_view piece, EventScanner* events) {
  answer_end_->bytes += static_cast<int64_t>(piece.size());
  if (!IsEventStream(head)) return;
  (void)events->Scan(piece);
  answer_end_->evidence.content = ContentEndOf(*events);
}

void Exchange::NoteStreamPiece(const Placement& placement, std::string_view piece) {
  if (piece.empty()) return;
  const TimePoint now = Now();
  NoteFirstOutput(now);
  answer_end_->bytes += static_cast<int64_t>(piece.size());
  NoteOutput(now);
  context_.placement.Output(placement.ticket, now);
}

asio::awaitable<bool> Exchange::ForwardPiece(const ResponseHead& head, std::string_view bytes,
                                             bool at_end) {
  if (bytes.empty() && !at_end) co_return true;
  if (!head_sent_ && !co_await StartStreamAnswer(head)) co_return false;
  bytes_out_ += static_cast<int64_t>(bytes.size());
  const std::string text = ChunkText(bytes, at_end);
  co_return co_await writer_->Write(text);
}

asio::awaitable<AttemptOutcome> Exchange::RelayStream(const Placement& placement,
                                                      const ResponseHead& head) {
  const bool is_events = IsEventStream(head);
  if (head_sent_ && !is_events) co_return AttemptOutcome::kSpoilt;  // not an event stream
  const bool resumable = admitted_.route->resumable && is_events;
  EventSplitter splitter(resumable ? EventSplitter::Passing::kWholeEvents
                                   : EventSplitter::Passing::kAsItComes);
  const std::optional<Duration> silence_timeout =
      resumable ? std::optional<Duration>(PauseTimeout()) : std::nullopt;
  std::string chunk;
  while (true) {
    const UpstreamError error = co_await ReadBody(&chunk, silence_timeout);
    if (error != UpstreamError::kNone) co_return OutcomeOf(error);
    const bool at_end = chunk.empty();
    NoteStreamPiece(placement, chunk);
    const std::string bytes = splitter.Feed(std::move(chunk));
    if (is_events) answer_end_->evidence.content = ContentEndOf(splitter.Scanner());
    if (at_end) {
      const AttemptOutcome outcome = OutcomeOfBody();
      if (outcome != AttemptOutcome::kAnswered) co_return outcome;
    }
    const bool begins = resumable && !bytes.empty() && splitter.Scanner().HasEvent();
    if (begins && !co_await PinVersion(placement)) co_return AttemptOutcome::kSpoilt;
    if (!co_await ForwardPiece(head, bytes, at_end)) co_return AttemptOutcome::kCallerGone;
    bound_to_backend_ =
        head_sent_ && (!is_events || splitter.IsBoundToBackend() || is_version_unknown_);
    const std::string& last_id = splitter.Scanner().LastId();
    if (resumable && !last_id.empty()) last_event_id_ = last_id;
    if (at_end) co_return AttemptOutcome::kAnswered;
  }
}

}  // namespace cartsail
