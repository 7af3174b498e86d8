#include "answer_oracle.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "cartsail/base/text.h"

namespace cartsail::testing {
namespace {

// Nodes round the time left down to whole milliseconds and start no attempt in the last 20 ms.
constexpr Duration kEarlyTolerance = milliseconds(50);
// For machines that are busy.
constexpr Duration kLateTolerance = seconds(3);
constexpr size_t kMostLines = 6;
constexpr std::string_view kNotRunOutcome = "\"not_run\"";

std::vector<std::string> DataLinesOf(const std::string& stream) {
  std::vector<std::string> lines;
  size_t begin = 0;
  while (true) {
    const size_t end = stream.find('\n', begin);
    // The last line is not complete.
    if (end == std::string::npos) return lines;
    const std::string line = stream.substr(begin, end - begin);
    if (line.starts_with("data:")) lines.push_back(line);
    begin = end + 1;
  }
}

std::vector<std::string> DataLinesOf(const std::vector<std::string>& events) {
  std::string stream;
  for (const std::string& event : events) stream += event;
  return DataLinesOf(stream);
}

// The events are the first ones of the answer, each once and in order.
bool IsBeginning(const std::vector<std::string>& received,
                 const std::vector<std::string>& expected) {
  return received.size() <= expected.size() &&
         std::equal(received.begin(), received.end(), expected.begin());
}

AnswerVerdict JudgeSuccess(const AskedRequest& asked, const ReceivedAnswer& received,
                           bool is_early) {
  const CallerView& view = received.view;
  const std::vector<std::string> expected = DataLinesOf(asked.events);
  const std::vector<std::string> came = DataLinesOf(view.body);
  const bool is_beginning =
      asked.events.empty() ? asked.body.starts_with(view.body) : IsBeginning(came, expected);
  if (!is_beginning) return AnswerVerdict::kWrongContent;
  const bool has_all = asked.events.empty() ? view.body == asked.body : came == expected;
  if (view.whole) return has_all ? AnswerVerdict::kWhole : AnswerVerdict::kWrongContent;
  return is_early ? AnswerVerdict::kCutEarly : AnswerVerdict::kEndedAtDeadline;
}

AnswerVerdict JudgeRefusal(const ReceivedAnswer& received, bool is_early) {
  if (!received.view.whole) return AnswerVerdict::kCutEarly;
  if (received.view.body.find(kNotRunOutcome) != std::string::npos) {
    return received.runs == 0 ? AnswerVerdict::kNotRun : AnswerVerdict::kFalseNotRun;
  }
  return is_early ? AnswerVerdict::kFailedEarly : AnswerVerdict::kEndedAtDeadline;
}

}  // namespace

std::string_view AnswerVerdictName(AnswerVerdict verdict) {
  switch (verdict) {
    case AnswerVerdict::kWhole:
      return "whole";
    case AnswerVerdict::kNotRun:
      return "not_run";
    case AnswerVerdict::kEndedAtDeadline:
      return "ended_at_deadline";
    case AnswerVerdict::kCutEarly:
      return "cut_early";
    case AnswerVerdict::kFailedEarly:
      return "failed_early";
    case AnswerVerdict::kFalseNotRun:
      return "false_not_run";
    case AnswerVerdict::kWrongContent:
      return "wrong_content";
    case AnswerVerdict::kUnanswered:
      return "unanswered";
    case AnswerVerdict::kEndedLate:
      return "ended_late";
    case AnswerVerdict::kRunTooOften:
      return "run_too_often";
  }
  return "unknown";
}

bool IsAsPromised(AnswerVerdict verdict) {
  return verdict == AnswerVerdict::kWhole || verdict == AnswerVerdict::kNotRun ||
         verdict == AnswerVerdict::kEndedAtDeadline;
}

AnswerVerdict JudgeAnswer(const AskedRequest& asked, const ReceivedAnswer& received) {
  const TimePoint deadline = received.sent + asked.time_left;
  const bool is_early = received.ended < deadline - kEarlyTolerance;
  if (received.runs > asked.most_runs) return AnswerVerdict::kRunTooOften;
  if (received.ended > deadline + kLateTolerance) return AnswerVerdict::kEndedLate;
  if (received.view.status == 0) return AnswerVerdict::kUnanswered;
  if (received.view.status == 200) return JudgeSuccess(asked, received, is_early);
  return JudgeRefusal(received, is_early);
}

void AnswerReport::Add(const AskedRequest& asked, const ReceivedAnswer& received) {
  const AnswerVerdict verdict = JudgeAnswer(asked, received);
  ++total_;
  verdicts_.push_back(verdict);
  longest_gap_ = std::max(longest_gap_, received.longest_gap);
  longest_time_ = std::max(longest_time_, received.ended - received.sent);
  if (IsAsPromised(verdict)) return;
  broken_.push_back(fmt::format(
      "{}: {} after {:.0f} of {:.0f} ms: status {}, {} of {} events, {} runs, {}", asked.id,
      AnswerVerdictName(verdict), ToMillis(received.ended - received.sent),
      ToMillis(asked.time_left), received.view.status, DataLinesOf(received.view.body).size(),
      asked.events.size(), received.runs, received.view.whole ? "whole" : "not whole"));
}

int AnswerReport::Count(AnswerVerdict verdict) const {
  return static_cast<int>(std::count(verdicts_.begin(), verdicts_.end(), verdict));
}

std::string AnswerReport::Text() const {
  std::map<AnswerVerdict, int> counts;
  for (const AnswerVerdict verdict : verdicts_) ++counts[verdict];
  std::string text = fmt::format("{} of {} not as promised:", Broken(), Total());
  for (const auto& [verdict, count] : counts) {
    text += fmt::format(" {} {}", count, AnswerVerdictName(verdict));
  }
  for (size_t i = 0; i < std::min(broken_.size(), kMostLines); ++i) text += "\n  " + broken_[i];
  return text;
}

}  // namespace cartsail::testing
