// Processes one request from its head to its final answer: admission, attempts at back ends
// and forwarding of the answer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/net/body_end.h"
#include "cartsail/net/event_scanner.h"
#include "cartsail/quarantine/shared_parts.h"
#include "cartsail/reachability/silence_evidence.h"
#include "cartsail/relay/admission.h"
#include "relay_context.h"
#include "request/answer_writer.h"
#include "request/byte_blocks.h"
#include "request/caller_connection.h"
#include "request/memory_budget.h"

namespace cartsail {

// Values of `result` in the log line of a request. For a request that this node refused it is the
// name of the error kind.
inline constexpr std::string_view kAnsweredResult = "answered";
inline constexpr std::string_view kFailedAnswerResult = "failed_answer";
inline constexpr std::string_view kCallerGoneResult = "caller_gone";
inline constexpr std::string_view kCutResult = "cut";
inline constexpr std::string_view kCutForMemoryResult = "cut_for_memory";

inline bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses from here on report a failure of the back end.
inline constexpr int kMinFailureStatus = 500;

// The parts of the head of a back end's answer that are logged for an attempt.
struct AnswerHead {
  int status = 0;           // 0: no answer
  std::string retry_after;  // as the back end wrote it
  bool leaving = false;
  std::string rate_limit;  // as the back end wrote it
};

// What was last sent to a back end, as logged. Empty fields: nothing was sent, or not known.
struct SentText {
  std::string after;          // milliseconds from the request's arrival
  std::string list_revision;  // store revision of this node's list of back ends then
  std::string list_age;       // milliseconds since that list was last confirmed to be the store's
  std::string verified_age;   // milliseconds since that list was last verified, also by peers
};

// How the body of an attempt's answer ended.
struct AnswerEnd {
  BodyEvidence evidence;
  int64_t bytes = 0;  // of the body, as received
};

// Why a request stays with a silent back end, or that it does not.
enum class SilenceDecision : uint8_t {
  kSent,                // the request was sent to another back end as well
  kMoved,               // the other back end has answered and takes over
  kResumed,             // data arrived or the attempt ended during the search
  kServiceSilent,       // most of the service is silent
  kMayNotMove,          // no attempts or time are left, or only this back end can continue
  kVersionUnconfirmed,  // it is not certain which version began the stream
  kNoRetry,             // the retry budget is spent
  kNoBackend,           // no back end is left that is not silent
  kNotConnected,        // the chosen back end could not be reached, or may not get the request
  kRefused,             // the chosen back end did not answer in time, or not with success
};

std::string_view SilenceDecisionName(SilenceDecision decision);

// Less time than this is not enough for another attempt.
inline constexpr Duration kMinTimeForAttempt = milliseconds(20);

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(RelayContext& context, std::shared_ptr<CallerConnection> caller,
           std::shared_ptr<RequestMemory> memory, CallerRequest request);

  // Processes the request. Returns true if the caller's connection may serve another request.
  boost::asio::awaitable<bool> Run();

  // The process is about to end: the caller gets the final answer now, unless part of an answer was
  // sent.
  void OnProcessEnding();

 private:
  // A back end that may take over from a silent one. The request is sent to it beside the silent
  // attempt, and the first of the two that sends data is kept.
  struct Replacement : std::enable_shared_from_this<Replacement> {
    Placement placement;
    std::unique_ptr<RetryTicket> retry;
    std::shared_ptr<UpstreamConnection> connection;
    std::optional<TimePoint> sent;                       // nullopt: the request was not sent
    AttemptOutcome outcome = AttemptOutcome::kWithheld;  // if it does not take over
  };

  // The watch for silence during one attempt.
  struct SilenceWatch {
    explicit SilenceWatch(boost::asio::io_context& io) : timer(io) {}

    // Returns false if this process did not run for a while after `time`: data may wait unread.
    boost::asio::awaitable<bool> SleepUntil(TimePoint time);

    Timer timer;  // cancelled at the end of the attempt
    bool ended = false;
    std::unique_ptr<RetryTicket> retry;      // granted, and not used yet
    std::vector<BackendKey> unusable;        // back ends that could not take over
    int failed_searches = 0;                 // that ended with kNotConnected or kRefused
    std::optional<SilenceDecision> decided;  // last decision
    TimePoint logged{};                      // when a decision was logged last
    bool idle_closed = false;                // the idle connections to the back end were closed
  };

  boost::asio::awaitable<void> WaitForCatalog();
  boost::asio::awaitable<bool> RunAdmitted();
  boost::asio::awaitable<AttemptOutcome> Attempt(const Placement& placement);
  void NoteKnownWhenSent();
  void TakeReplacement();
  boost::asio::awaitable<AttemptOutcome> RunAttempt(const Placement& placement);
  boost::asio::awaitable<AttemptOutcome> ExchangeWithBackend(const Placement& placement);
  boost::asio::awaitable<OpenedPath> OpenUpstream(const Placement& placement);
  boost::asio::awaitable<OpenedPath> OpenPath(const Placement& placement,
                                              PathService::OnPending on_pending);
  // The outcome of an attempt for which no connection was opened.
  AttemptOutcome OutcomeOfFailedOpen(const OpenedPath& opened) const;
  AttemptOutcome OutcomeOfPath(AttemptOutcome outcome);
  void FinishAttempt(const Placement& placement, AttemptOutcome outcome, TimePoint ended,
                     const RequestTraits& traits);
  static boost::asio::awaitable<void> DiagnoseAttempt(std::shared_ptr<Exchange> self,
                                                      Placement placement, AttemptOutcome outcome);
  // What of the request may have crashed the back end of the current attempt, which ended `now`.
  RequestTraits TraitsInFlight(TimePoint now) const;
  boost::asio::awaitable<AttemptOutcome> ReadMatchingHead(const Placement& placement,
                                                          ResponseHead* head);
  // Reads the body of an answer that is not passed on; kSpoilt if it is too long.
  boost::asio::awaitable<AttemptOutcome> DiscardAnswer(TimePoint deadline);
  void NoteAnswerHead(const ResponseHead& head);
  // Reads part of the answer's body, as UpstreamConnection::ReadBody(), until the deadline of the
  // request. The back end is silent after `silence_timeout`; nullopt: however long it takes.
  boost::asio::awaitable<UpstreamError> ReadBody(std::string* chunk,
                                                 std::optional<Duration> silence_timeout = {});
  // The same until `deadline`.
  boost::asio::awaitable<UpstreamError> ReadBodyUntil(TimePoint deadline, std::string* chunk,
                                                      std::optional<Duration> silence_timeout = {});
  // Records the framing of the answer's body and how reading it ended.
  void NoteReadingEnd();
  // The outcome at the end of the answer's body: kAnswered, or kCut if the body was broken off.
  AttemptOutcome OutcomeOfBody();
  boost::asio::awaitable<AttemptOutcome> RelayAnswer(const Placement& placement,
                                                     const ResponseHead& head);
  boost::asio::awaitable<AttemptOutcome> RelayWhole(const Placement& placement,
                                                    const ResponseHead& head);
  boost::asio::awaitable<AttemptOutcome> RelayStream(const Placement& placement,
                                                     const ResponseHead& head);
  void NoteBody(const ResponseHead& head, std::string_view piece, EventScanner* events);
  // The current attempt has received a part of a body.
  void NoteFirstOutput(TimePoint now);
  void NoteStreamPiece(const Placement& placement, std::string_view piece);
  // Forwards bytes of a stream, preceded by the head if it was not sent yet; `at_end` ends the
  // body.
  boost::asio::awaitable<bool> ForwardPiece(const ResponseHead& head, std::string_view bytes,
                                            bool at_end);
  boost::asio::awaitable<bool> StartStreamAnswer(const ResponseHead& head);
  boost::asio::awaitable<bool> AnswerWhole(const ResponseHead& head, HttpHeaders headers,
                                           const ByteBlocks& body);
  // Sends the head and `body`, the first part of a body of `body_bytes`.
  boost::asio::awaitable<bool> Answer(int status, std::string_view reason, HttpHeaders headers,
                                      std::string_view body, size_t body_bytes);
  boost::asio::awaitable<bool> FinishUnanswered(AttemptOutcome last);
  Duration RefusalRetryAfter(const Dispatcher::Backoffs& backoffs) const;
  boost::asio::awaitable<bool> AnswerRefusal(ErrorKind kind, Duration retry_after);

  std::string UpstreamHead(const Placement& placement, TimePoint now) const;
  AttemptOutcome OutcomeOf(UpstreamError error) const;
  Duration FirstOutputTimeout(const Placement& placement) const;
  Duration PauseTimeout() const;
  bool MustNotBegin() const;
  bool IsRetryable() const;
  // True if the request's stream can continue at another back end, but only at one of the version
  // that started it.
  bool FollowsVersions() const;
  // Identifies the stream; the same for the request that started it and those that resume it.
  StreamKey Stream() const;
  // Looks up the version of the stream that this request resumes; false if it is unknown.
  boost::asio::awaitable<bool> LookUpVersion();
  // True unless the request would start a stream at a version at which streams may not start.
  boost::asio::awaitable<bool> CanStartAt(const Placement& placement);
  // Binds the stream to the back end's version, or to the back end itself if its version is not
  // certain; called before the first event is forwarded. False if another version could resume it.
  boost::asio::awaitable<bool> PinVersion(const Placement& placement);
  // False if the stream started in this answer and another version may have written its first
  // event.
  boost::asio::awaitable<bool> IsVersionConfirmed();
  // True if the connection leads to a process of the stream's version.
  boost::asio::awaitable<bool> CanResumeAt(const Placement& placement,
                                           const UpstreamConnection& connection);
  void StartSilenceWatch(const Placement& placement);
  void EndSilenceWatch();
  static boost::asio::awaitable<void> WatchSilence(std::shared_ptr<Exchange> self,
                                                   std::shared_ptr<SilenceWatch> watch,
                                                   Placement placement);
  // When the current read counts as silence of the back end.
  TimePoint SilentFrom(const Placement& placement) const;
  bool MayMove() const;
  // Searches for a back end that takes over from the `silent` one; sets replacement_ on kMoved.
  boost::asio::awaitable<SilenceDecision> ReplaceSilent(std::shared_ptr<SilenceWatch> watch,
                                                        Placement silent);
  // Returns true if `found` is connected and may get the request.
  boost::asio::awaitable<bool> ConnectReplacement(const SilenceWatch& watch, Replacement& found);
  // True if this node finds the back end silent, by half of the attempt's silence.
  bool IsSilentBackend(BackendKey backend);
  std::vector<BackendKey> ExcludedAsReplacements(const SilenceWatch& watch,
                                                 std::optional<TrialTarget> trial);
  // Records what is known about the silence of the current attempt.
  void NoteEvidence(const Placement& placement);
  // True if the answer, or the end of the connection, has arrived.
  bool HasBegunToAnswer(UpstreamConnection& connection) const;
  // How an answer other than success of a replacement is to be taken.
  boost::asio::awaitable<AttemptOutcome> ReadRefusal(const Replacement& found);
  // Sends the request to the replacement, which counts as an attempt.
  void SendToReplacement(Replacement& found);
  // Ends a replacement that does not take over.
  void ReleaseReplacement(Replacement& found);
  // Ends the replacement that was sent the request, as the attempt it was to replace goes on.
  void DropCandidate();
  // The silent attempt has failed: the replacement that was sent the request takes over.
  void AdoptCandidate();
  void NoteSilence(SilenceWatch& watch, const Placement& placement, SilenceDecision decision);
  // The back end of the next attempt.
  boost::asio::awaitable<std::optional<Placement>> NextPlacement();
  void NoteOutput(TimePoint now);
  void NoteRun(TimePoint now);
  void LogAttempt(const Placement& placement, AttemptOutcome outcome) const;
  std::string ConfigAgeText() const;
  SentText TextOfSent() const;
  std::string GoalText() const;
  std::string PauseGoalText() const;
  void RefreshResidency();
  bool HasNoPermittedBackend(TimePoint now);
  void LogResidencyRefusal(std::string_view why);
  // True if back ends have crashed on this request or on a part of its prompt: it must not be sent
  // to another one.
  bool IsQuarantined() const;
  void OnQuarantined();
  // Aborts the answer: its caller has not read `bytes` of it for `stalled_for`, and the memory is
  // needed for other requests.
  void AbortForMemory(int64_t bytes, Duration stalled_for);
  void NoteEndOfAttempt(const Placement& placement, AttemptOutcome outcome, TimePoint ended,
                        const RequestTraits& traits);
  // Returns true if the request may be sent to a back end now. If it was sent to one before, this
  // is a retry and is charged to the retry budget.
  boost::asio::awaitable<bool> AcquireRetry();
  // Counts and logs a retry that was granted; nullptr: it was denied.
  void NoteRetryDecision(const RetryTicket* retry) const;
  // Ends the retry of the attempt that just ended. The retry counts for one budget window from now,
  // or from the time until which bytes of the request may still arrive at a back end.
  void ReleaseRetry(AttemptOutcome outcome);
  // As above, for any retry of this request. `may_be_in_transit`: bytes may still arrive.
  void CloseRetry(std::unique_ptr<RetryTicket> retry, bool may_be_in_transit);
  void CountEnd(std::string_view result, Duration took) const;
  void LogEnd(std::string_view result, int status) const;
  void LogAnswered() const;

  RelayContext& context_;
  std::shared_ptr<CallerConnection> caller_;
  std::shared_ptr<RequestMemory> memory_;
  std::shared_ptr<AnswerWriter> writer_;
  CallerRequest request_;
  RequestHead head_;
  AdmittedRequest admitted_;
  std::shared_ptr<const RouteTable> residency_table_;  // source of the data residency
  AttemptHistory history_;
  std::unique_ptr<RetryTicket> retry_;  // of the current or the next attempt; nullptr: no retry
  // Until then, bytes of attempts that ended without an answer may reach back ends.
  TimePoint in_transit_until_{};
  std::vector<BackendKey> tried_;
  std::string last_backend_;  // id of the back end of the last attempt
  std::string last_version_;  // version of that back end
  std::string placed_by_;     // coordinator that placed the last attempt; empty: this node
  std::string request_id_;
  std::string resumes_;          // id of the request that started the resumed stream; or empty
  std::string stream_version_;   // at which the stream started; empty: not started or unknown
  StreamRecord started_stream_;  // the stream, if it started in this answer
  VersionSource version_source_ = VersionSource::kNone;  // of the resumed stream
  RequestTraits traits_;
  std::vector<PromptPart> prompt_parts_;  // as the caller names them
  // What the request was refused for; nullopt: not for a quarantine.
  std::optional<QuarantinedRequest> quarantined_for_;
  ConnectResult connect_result_ = ConnectResult::kConnected;  // of the last attempt
  std::string via_node_;                 // node that bridged the last attempt; empty: none
  AnswerHead answer_;                    // of the last attempt
  std::optional<AnswerEnd> answer_end_;  // of the last attempt; nullopt: it had no head
  std::string last_event_id_;            // of the forwarded events, to resume after
  std::shared_ptr<UpstreamConnection> upstream_;
  TimePoint deadline_;
  TimePoint sent_;                   // when the last attempt was sent to a back end
  BackendListState list_when_sent_;  // what this node knew of the back ends when it last sent
  TimePoint verified_when_sent_{};   // as of when that was verified; TimePoint(): never
  TimePoint waiting_since_;  // when this node began to wait for the next data of the attempt
  bool is_reading_ = false;  // this node waits for data of the attempt
  std::optional<Duration> silence_timeout_;  // of the current read; nullopt: none
  SilenceEvidence silence_;                  // when the last attempt ended or was last found silent
  std::shared_ptr<SilenceWatch> silence_watch_;  // of the current attempt; nullptr: none
  std::shared_ptr<Replacement> candidate_;       // was sent the request; nullptr: none
  std::shared_ptr<Replacement> replacement_;     // for the next attempt; nullptr: none
  TimePoint first_output_;
  TimePoint last_output_;
  Duration longest_pause_{};  // longest time between two pieces of the answer
  // Set if only metered back ends were left and none was free: the time until one may be.
  std::optional<Duration> metered_wait_;
  bool head_sent_ = false;
  // Only the back end that sent the forwarded bytes can continue the answer.
  bool bound_to_backend_ = false;
  bool follows_versions_ = false;
  bool is_version_unknown_ = false;  // the stream has started at a back end without a version
  bool usage_counted_ = false;       // the request was counted as usage
  int status_sent_ = 0;              // of the head sent to the caller
  bool caller_gone_ = false;
  bool aborted_for_memory_ = false;
  bool has_matching_head_ = false;  // the current attempt has received the head that answers it
  bool is_answering_ = false;       // that head reports success
  bool has_output_ = false;         // the current attempt has received a part of a body
  TimePoint attempt_output_;        // when it received the first one
  bool is_trial_ = false;           // the request is quarantined, and sent once to find out why
  bool aborted_ = false;            // the current attempt, since the request was quarantined
  bool keep_alive_ = true;
  int64_t bytes_out_ = 0;
};

}  // namespace cartsail
