// From a request's id and the log files of any number of nodes to what happened and why. Reads
// partial and rotated logs and says what is missing. Pure.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cartsail {

// One line of a node's log.
struct LogLine {
  std::string source;  // the file, or node, that it is from
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  // all but `event`

  // The value of `name`, or "".
  std::string_view Field(std::string_view name) const;
};

// The key=value fields of `text`; a line without `event` has an empty one. What stands before the
// first field (such as a collector's own time stamp) is ignored.
LogLine ParseLogLine(std::string_view source, std::string_view text);

struct RequestTrace {
  std::vector<LogLine> steps;  // in the order of their time stamps
  std::string cause;           // one sentence
  std::vector<std::string> missing;
};

// `lines` are of all files, each file's in its own order.
RequestTrace TraceRequest(std::string_view request_id, const std::vector<LogLine>& lines);

}  // namespace cartsail
