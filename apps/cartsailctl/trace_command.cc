// cartsailctl trace: what happened to one request, from the logs of any number of nodes.
#include <fmt/format.h>

#include <sstream>

#include "cartsail/operations/trace.h"
#include "command.h"

namespace cartsail::ctl {
namespace {

std::string Describe(const LogLine& line) {
  std::string text = fmt::format("{} {} {}", line.Field("ts"), line.source, line.event);
  for (const auto& [key, value] : line.fields) {
    if (key == "ts" || key == "level" || key == "request" || value.empty()) continue;
    text += fmt::format(" {}={}", key, value);
  }
  return text;
}

CommandResult DescribeTrace(const RequestTrace& trace) {
  CommandResult result;
  json::array steps;
  for (const LogLine& step : trace.steps) {
    result.text += Describe(step) + "\n";
    steps.emplace_back(Describe(step));
  }
  result.text += "cause: " + trace.cause + "\n";
  json::array missing;
  for (const std::string& what : trace.missing) {
    result.text += "missing: " + what + "\n";
    missing.emplace_back(what);
  }
  result.object = json::object{{"steps", steps}, {"cause", trace.cause}, {"missing", missing}};
  result.exit_code = trace.steps.empty() ? kExitFailed : kExitOk;
  return result;
}

}  // namespace

absl::StatusOr<std::vector<LogLine>> ReadLogs(const Words& files) {
  std::vector<LogLine> lines;
  for (const std::string& file : files) {
    const absl::StatusOr<std::string> text = ReadWholeFile(file);
    if (!text.ok()) return text.status();
    std::istringstream stream(*text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(ParseLogLine(file, line));
    }
  }
  return lines;
}

absl::StatusOr<CommandResult> RunTraceCommand(const Words& words) {
  if (words.size() < 2) return Usage("trace REQUEST-ID LOG...: the log files of the nodes");
  const absl::StatusOr<std::vector<LogLine>> lines = ReadLogs({words.begin() + 1, words.end()});
  if (!lines.ok()) return lines.status();
  return DescribeTrace(TraceRequest(words[0], *lines));
}

}  // namespace cartsail::ctl
