// One request from its head to its final answer: admission, attempts at back ends, relaying.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/net/body_end.h"
#include "cartsail/net/event_scanner.h"
#include "cartsail/quarantine/request_fingerprint.h"
#include "cartsail/relay/admission.h"
#include "relay_context.h"
#include "request/answer_writer.h"
#include "request/byte_blocks.h"
#include "request/caller_connection.h"
#include "request/held_memory.h"

namespace cartsail {

// How a request ended, as its log line names it; the kind of error where the node refused it.
inline constexpr std::string_view kAnsweredResult = "answered";
inline constexpr std::string_view kFailedAnswerResult = "failed_answer";
inline constexpr std::string_view kCallerGoneResult = "caller_gone";
inline constexpr std::string_view kCutResult = "cut";
inline constexpr std::string_view kCutForMemoryResult = "cut_for_memory";

// Statuses from here on tell a failure of the back end.
inline constexpr int kLeastFailureStatus = 500;

// What the log tells of a back end's answer to an attempt.
struct AnswerHead {
  int status = 0;           // 0: there was none
  std::string retry_after;  // as the back end wrote it
  bool leaving = false;
  std::string rate_limit;  // as the back end wrote it
};

// How the body of an attempt's answer ended.
struct AnswerEnd {
  BodyEvidence evidence;
  int64_t bytes = 0;  // of the body that came
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(RelayContext& context, std::shared_ptr<CallerConnection> caller,
           std::shared_ptr<HeldRequest> held, CallerRequest request);

  // True when the caller's connection may serve another request.
  boost::asio::awaitable<bool> Run();

 private:
  enum class RelayMode { kWhole, kPieces, kEvents };

  boost::asio::awaitable<void> WaitForCatalog();
  boost::asio::awaitable<bool> RunAdmitted();
  boost::asio::awaitable<AttemptOutcome> Attempt(const Placement& placement);
  boost::asio::awaitable<AttemptOutcome> Converse(const Placement& placement);
  boost::asio::awaitable<OpenedPath> OpenUpstream(const Placement& placement);
  AttemptOutcome OutcomeOfPath(AttemptOutcome outcome);
  void FinishAttempt(const Placement& placement, AttemptOutcome outcome, TimePoint ended);
  static boost::asio::awaitable<void> ExplainAttempt(std::shared_ptr<Exchange> self,
                                                     Placement placement, AttemptOutcome outcome);
  boost::asio::awaitable<AttemptOutcome> ReadOwnHead(const Placement& placement, ResponseHead* head,
                                                     TimePoint patience);
  boost::asio::awaitable<AttemptOutcome> SkipStrayAnswer();
  void NoteAnswerHead(const ResponseHead& head);
  // Notes how the reading of the answer's body has ended, so far.
  void NoteReadingEnd();
  // At the end of the answer's body: kAnswered, or kCut where it was broken off.
  AttemptOutcome OutcomeOfBody();
  boost::asio::awaitable<AttemptOutcome> RelayAnswer(const Placement& placement,
                                                     const ResponseHead& head);
  boost::asio::awaitable<AttemptOutcome> RelayWhole(const Placement& placement,
                                                    const ResponseHead& head);
  boost::asio::awaitable<AttemptOutcome> RelayStream(const Placement& placement,
                                                     const ResponseHead& head);
  void NoteBody(const ResponseHead& head, std::string_view piece, EventScanner* events);
  void NoteStreamPiece(const Placement& placement, std::string_view piece);
  // Until when the next piece of a stream is waited for.
  TimePoint PatienceInStream(bool resumable) const;
  // Passes bytes of a stream on, behind its head, and its end.
  boost::asio::awaitable<bool> PassOn(const ResponseHead& head, std::string_view bytes,
                                      bool at_end);
  boost::asio::awaitable<bool> StartStreamAnswer(const ResponseHead& head);
  boost::asio::awaitable<bool> AnswerWhole(const ResponseHead& head, HttpHeaders headers,
                                           const ByteBlocks& body);
  // `body`: the first part of `body_bytes`.
  boost::asio::awaitable<bool> Answer(int status, std::string_view reason, HttpHeaders headers,
                                      std::string_view body, size_t body_bytes);
  boost::asio::awaitable<bool> FinishUnserved(AttemptOutcome last);
  Duration WaitUntilServed(const Dispatcher::Backoffs& backoffs) const;
  boost::asio::awaitable<bool> AnswerRefusal(ErrorKind kind, Duration retry_after);

  std::string UpstreamHead(const Placement& placement, TimePoint now) const;
  AttemptOutcome OutcomeOf(UpstreamError error, TimePoint deadline) const;
  TimePoint Patience(const Placement& placement, TimePoint now) const;
  Duration PauseLimit() const;
  bool MayRepeat() const;
  // Its stream may go on at another back end, and belongs to one version of them.
  bool FollowsVersions() const;
  // Names the stream, whichever of its caller's tries this is.
  StreamKey Stream() const;
  // Finds out the version of the stream that is taken up; false where it is not known.
  boost::asio::awaitable<bool> FindVersion();
  // A stream that has not begun may begin at the back end.
  boost::asio::awaitable<bool> MayBegin(const Placement& placement);
  // The first event is about to be passed on: from now on the stream belongs to the back end's
  // version. False where it is not certain which one wrote it.
  boost::asio::awaitable<bool> BindVersion(const Placement& placement);
  // False: the stream began in this answer, and another version may have begun it.
  boost::asio::awaitable<bool> IsVersionSure();
  // The connection just made leads to a process of the stream's version.
  boost::asio::awaitable<bool> MayGoOnAt(const Placement& placement);
  void NoteOutput(TimePoint now);
  void NoteRun(TimePoint now);
  void LogAttempt(const Placement& placement, AttemptOutcome outcome) const;
  std::string ConfigAgeText() const;
  std::string GoalText() const;
  std::string PauseGoalText() const;
  void FollowDocument();
  bool IsWithoutHome(TimePoint now);
  void LogResidencyRefusal(std::string_view why);
  // Back ends end under this request: it may be sent to no further one.
  bool IsQuarantined() const;
  void OnQuarantined();
  // The answer is given up, since its caller does not take it and others need the memory.
  void OnGiveUp(int64_t bytes, Duration left_alone);
  void NoteEndOfAttempt(const Placement& placement, AttemptOutcome outcome, TimePoint ended);
  // Whether the request may be sent to a back end now, as a repeat where it was sent to one before.
  boost::asio::awaitable<bool> TakeRepeat();
  void LogRepeat() const;
  // The attempt under way has ended. From then on its repeat counts for one window, or for longer
  // where its bytes may still be on their way.
  void EndRepeat(AttemptOutcome outcome);
  void CountEnd(std::string_view result, Duration took) const;
  void LogEnd(std::string_view result, int status) const;
  void LogAnswered() const;

  RelayContext& context_;
  std::shared_ptr<CallerConnection> caller_;
  std::shared_ptr<HeldRequest> held_;
  std::shared_ptr<AnswerWriter> writer_;
  CallerRequest request_;
  RequestHead head_;
  AdmittedRequest admitted_;
  std::shared_ptr<const RouteTable> residency_table_;  // from which the data residency was read
  AttemptHistory history_;
  std::unique_ptr<RetryTicket> repeat_;  // of the attempt under way, or of the next one
  // Until then bytes of attempts that ended without a word may reach back ends.
  TimePoint unheard_until_{};
  std::vector<BackendKey> tried_;
  std::string last_backend_;  // id of the one tried last
  std::string last_version_;  // its version
  std::string placed_by_;     // the coordinator of the last attempt; empty: this node
  std::string request_id_;
  std::string resumes_;  // the request that began the stream which this one takes up; or empty
  std::string stream_version_;  // that began the stream; empty: it has not begun
  StreamRecord begun_here_;     // the stream, where it began in this answer
  VersionSource version_source_ = VersionSource::kNone;  // of the stream that is taken up
  RequestFingerprint fingerprint_ = 0;
  ConnectResult connect_result_ = ConnectResult::kConnected;  // of the last attempt
  std::string over_;                     // the node over which the last attempt went; empty: none
  AnswerHead answer_;                    // of the last attempt
  std::optional<AnswerEnd> answer_end_;  // of the last attempt; nothing: it had no head
  std::string last_event_id_;            // of the events passed on, for a continuation
  std::shared_ptr<UpstreamConnection> upstream_;
  TimePoint deadline_;
  TimePoint sent_;  // to a back end, in the last attempt
  TimePoint first_output_;
  TimePoint last_output_;
  Duration longest_pause_{};              // between two pieces of the answer
  std::optional<Duration> metered_wait_;  // only metered back ends were left, and none was free
  bool head_sent_ = false;
  // What the caller was sent can be continued by the back end that sent it only.
  bool bound_to_backend_ = false;
  bool follows_versions_ = false;
  bool is_of_unknown_version_ = false;  // the stream, which has begun
  bool run_noted_ = false;              // it counts as usage
  int status_sent_ = 0;                 // of the head that the caller was sent
  bool caller_gone_ = false;
  bool given_up_for_memory_ = false;
  bool was_heard_ = false;   // of the attempt under way: a head that answers it
  bool has_output_ = false;  // of the attempt under way
  bool given_up_ = false;    // the attempt under way, since the request was quarantined
  bool keep_alive_ = true;
  int64_t bytes_out_ = 0;
};

}  // namespace cartsail
