// Judges, from what callers received alone, whether requests that engines had accepted were
// answered as promised.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cartsail/base/clock.h"
#include "support/caller_view.h"

namespace cartsail::testing {

// A request, and the answer that an engine gives to it.
struct AskedRequest {
  std::string id;
  std::vector<std::string> events;  // of a stream, in order; empty: the answer is `body`
  std::string body;
  Duration time_left{};  // from its sending
  int most_runs = 1;     // engines that may run it
};

struct ReceivedAnswer {
  CallerView view;
  TimePoint sent{};        // the request
  TimePoint ended{};       // the answer, or the connection
  int runs = 0;            // how often engines ran the request
  Duration longest_gap{};  // between two events of a stream
};

enum class AnswerVerdict {
  // As promised.
  kWhole,
  kNotRun,           // refused as not run, and no engine ran it
  kEndedAtDeadline,  // its own
  // Not as promised.
  kCutEarly,      // the connection ended before the deadline and before the answer did
  kFailedEarly,   // refused before the deadline with an unknown outcome
  kFalseNotRun,   // refused as not run, and an engine ran it
  kWrongContent,  // events are missing, repeated or out of order, or the body is another one
  kUnanswered,    // the connection ended without a byte
  kEndedLate,     // long after the deadline
  kRunTooOften,
};

std::string_view AnswerVerdictName(AnswerVerdict verdict);

bool IsAsPromised(AnswerVerdict verdict);

AnswerVerdict JudgeAnswer(const AskedRequest& asked, const ReceivedAnswer& received);

// The verdicts of many answers.
class AnswerReport {
 public:
  void Add(const AskedRequest& asked, const ReceivedAnswer& received);

  int Total() const { return total_; }
  int Broken() const { return static_cast<int>(broken_.size()); }
  int Count(AnswerVerdict verdict) const;
  Duration LongestGap() const { return longest_gap_; }
  // From a request to the end of its answer.
  Duration LongestTime() const { return longest_time_; }

  // The number of each verdict, and the first broken promises.
  std::string Text() const;

 private:
  int total_ = 0;
  std::vector<AnswerVerdict> verdicts_;
  std::vector<std::string> broken_;  // a line each
  Duration longest_gap_{};
  Duration longest_time_{};
};

}  // namespace cartsail::testing
