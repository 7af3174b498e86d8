#include "cartsail/operations/request_log.h"

#include <fmt/format.h>

#include <algorithm>

#include "cartsail/base/status.h"

namespace cartsail {

json::object EncodeRecord(const RequestRecord& record) {
  return {{"at_ms", record.at_ms},           {"tenant", record.tenant},
          {"service", record.service},       {"class", record.class_name},
          {"model", record.model},           {"tier", record.tier},
          {"granted", record.granted},       {"wait_ms", record.wait_ms},
          {"service_ms", record.service_ms}, {"refusal", record.refusal}};
}

RequestRecord DecodeRecord(const json::object& object) {
  RequestRecord record;
  record.at_ms = GetDouble(object, "at_ms");
  record.tenant = GetString(object, "tenant");
  record.service = GetString(object, "service");
  record.class_name = GetString(object, "class");
  record.model = GetString(object, "model");
  record.tier = static_cast<int>(GetInt(object, "tier"));
  record.granted = GetBool(object, "granted");
  record.wait_ms = GetDouble(object, "wait_ms");
  record.service_ms = GetDouble(object, "service_ms");
  record.refusal = GetString(object, "refusal");
  return record;
}

std::string FormatRequestLog(const std::vector<RequestRecord>& records) {
  std::string text;
  for (const RequestRecord& record : records) {
    text += json::serialize(EncodeRecord(record));
    text += '\n';
  }
  return text;
}

absl::StatusOr<std::vector<RequestRecord>> ParseRequestLog(std::string_view text) {
  std::vector<RequestRecord> records;
  int line_number = 0;
  while (!text.empty()) {
    ++line_number;
    const size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (line.empty()) continue;
    const absl::StatusOr<json::object> object = ParseJsonObject(line);
    if (!object.ok()) {
      return MakeError(ErrorKind::kMalformedRequest,
                       fmt::format("line {} of the request log is no JSON object", line_number));
    }
    records.push_back(DecodeRecord(*object));
  }
  return records;
}

void RequestLog::Add(RequestRecord record) {
  if (records_.size() < capacity_) {
    records_.push_back(std::move(record));
    return;
  }
  records_[next_] = std::move(record);
  next_ = (next_ + 1) % capacity_;
}

std::vector<RequestRecord> RequestLog::Records() const {
  std::vector<RequestRecord> ordered(records_.begin() + static_cast<std::ptrdiff_t>(next_),
                                     records_.end());
  ordered.insert(ordered.end(), records_.begin(),
                 records_.begin() + static_cast<std::ptrdiff_t>(next_));
  return ordered;
}

}  // namespace cartsail
