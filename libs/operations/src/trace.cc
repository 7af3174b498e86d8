#include "cartsail/operations/trace.h"

#include <fmt/format.h>

#include <algorithm>

namespace cartsail {
namespace {

// Reads one value that starts at `*position`: quoted with escapes, or up to the next blank.
std::string ReadValue(std::string_view text, size_t* position) {
  std::string value;
  if (*position >= text.size() || text[*position] != '"') {
    const size_t end = std::min(text.find(' ', *position), text.size());
    value = std::string(text.substr(*position, end - *position));
    *position = end;
    return value;
  }
  for (++*position; *position < text.size() && text[*position] != '"'; ++*position) {
    if (text[*position] == '\\' && *position + 1 < text.size()) ++*position;
    value.push_back(text[*position]);
  }
  if (*position < text.size()) ++*position;
  return value;
}

const LogLine* LastOf(const std::vector<LogLine>& steps, std::string_view event) {
  for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
    if (step->event == event) return &*step;
  }
  return nullptr;
}

std::string AttemptSentence(const LogLine* attempt) {
  if (attempt == nullptr) return {};
  return fmt::format("; the attempt at {} ({}) ended as {}", attempt->Field("backend"),
                     attempt->Field("address"), attempt->Field("outcome"));
}

std::string RefusalSentence(const LogLine& end) {
  if (end.Field("config") == "0") return "the node had no configuration yet";
  if (end.Field("result") == "draining") return "the node was about to stop";
  if (end.Field("result") == "not_ready") {
    return fmt::format("its route or key was unknown to a view of the store {} ms old, version {}",
                       end.Field("config_age_ms"), end.Field("config"));
  }
  if (end.Field("result") == "unknown_key" || end.Field("result") == "unknown_path") {
    return fmt::format("configuration version {} (confirmed {} ms before) has no such key or route",
                       end.Field("config"), end.Field("config_age_ms"));
  }
  return "no back end took it";
}

std::string CauseOf(const std::vector<LogLine>& steps, const LogLine& end) {
  const std::string_view result = end.Field("result");
  const LogLine* attempt = LastOf(steps, "attempt");
  if (result == "answered") {
    return fmt::format("answered in {} ms, first output after {} ms, longest pause {} ms",
                       end.Field("ms"), end.Field("first_ms"), end.Field("pause_ms"));
  }
  if (result == "failed_answer") {
    return fmt::format("the back end {} answered with failure {}, which was passed on",
                       end.Field("backend"), end.Field("status"));
  }
  if (result == "caller_gone") {
    return fmt::format("the caller left after {} ms", end.Field("ms"));
  }
  if (result == "cut") {
    return fmt::format("the stream was cut after {} bytes and could not go on{}",
                       end.Field("bytes"), AttemptSentence(attempt));
  }
  if (result == "timeout") {
    return fmt::format("no whole answer within the request's time, {} ms{}", end.Field("ms"),
                       AttemptSentence(attempt));
  }
  if (result == "backend_failed") {
    return fmt::format("it may have run and may not be sent again{}", AttemptSentence(attempt));
  }
  return fmt::format("refused without having run ({}): {}{}", result, RefusalSentence(end),
                     AttemptSentence(attempt));
}

}  // namespace

std::string_view LogLine::Field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return {};
}

LogLine ParseLogLine(std::string_view source, std::string_view text) {
  LogLine line;
  line.source = std::string(source);
  size_t position = 0;
  while (position < text.size()) {
    const size_t end = std::min(text.find_first_of(" =", position), text.size());
    if (end == text.size() || text[end] == ' ') {
      position = end + 1;
      continue;
    }
    std::string key(text.substr(position, end - position));
    position = end + 1;
    std::string value = ReadValue(text, &position);
    if (key == "event") {
      line.event = std::move(value);
    } else {
      line.fields.emplace_back(std::move(key), std::move(value));
    }
    ++position;
  }
  return line;
}

RequestTrace TraceRequest(std::string_view request_id, const std::vector<LogLine>& lines) {
  RequestTrace trace;
  int64_t dropped_notes = 0;
  for (const LogLine& line : lines) {
    dropped_notes += line.event == "log_dropped" ? 1 : 0;
    if (line.Field("request") == request_id) trace.steps.push_back(line);
  }
  std::stable_sort(trace.steps.begin(), trace.steps.end(),
                   [](const LogLine& left, const LogLine& right) {
                     return left.Field("ts") < right.Field("ts");
                   });
  if (dropped_notes > 0) {
    trace.missing.push_back(fmt::format("{} places where lines were dropped", dropped_notes));
  }
  const LogLine* end = LastOf(trace.steps, "request");
  if (trace.steps.empty()) {
    trace.cause = "unknown: no line names this request";
    trace.missing.emplace_back("the log of the node that took it, or that part of it");
  } else if (end == nullptr) {
    trace.cause = "unknown: the process ended, or its log does, before the request did";
    trace.missing.emplace_back("the line of the request's end");
  } else {
    trace.cause = CauseOf(trace.steps, *end);
  }
  return trace;
}

}  // namespace cartsail
