#include "cartsail/base/json.h"

#include <absl/strings/escaping.h>

#include "cartsail/base/status.h"

namespace cartsail {

absl::StatusOr<json::value> ParseJson(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(json::string_view(text.data(), text.size()), error);
  if (error)
    return MakeError(ErrorKind::kMalformedRequest, "not a JSON document: " + error.message());
  return value;
}

absl::StatusOr<json::object> ParseJsonObject(std::string_view text) {
  absl::StatusOr<json::value> value = ParseJson(text);
  if (!value.ok()) return value.status();
  if (!value->is_object()) return MakeError(ErrorKind::kMalformedRequest, "not a JSON object");
  return std::move(value->as_object());
}

std::string GetString(const json::object& object, std::string_view key, std::string_view fallback) {
  const json::value* member = object.if_contains(json::string_view(key.data(), key.size()));
  if (member == nullptr || !member->is_string()) return std::string(fallback);
  return std::string(member->as_string());
}

int64_t GetInt(const json::object& object, std::string_view key, int64_t fallback) {
  const json::value* member = object.if_contains(json::string_view(key.data(), key.size()));
  if (member == nullptr) return fallback;
  if (member->is_string()) {
    int64_t parsed = 0;
    const json::string& text = member->as_string();
    return absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &parsed) ? parsed
                                                                                  : fallback;
  }
  boost::system::error_code error;
  const auto number = member->to_number<int64_t>(error);
  return error ? fallback : number;
}

double GetDouble(const json::object& object, std::string_view key, double fallback) {
  const json::value* member = object.if_contains(json::string_view(key.data(), key.size()));
  if (member == nullptr) return fallback;
  boost::system::error_code error;
  const auto number = member->to_number<double>(error);
  return error ? fallback : number;
}

bool GetBool(const json::object& object, std::string_view key, bool fallback) {
  const json::value* member = object.if_contains(json::string_view(key.data(), key.size()));
  return member != nullptr && member->is_bool() ? member->as_bool() : fallback;
}

const json::object* GetObject(const json::object& object, std::string_view key) {
  const json::value* member = object.if_contains(json::string_view(key.data(), key.size()));
  return member == nullptr ? nullptr : member->if_object();
}

const json::array* GetArray(const json::object& object, std::string_view key) {
  const json::value* member = object.if_contains(json::string_view(key.data(), key.size()));
  return member == nullptr ? nullptr : member->if_array();
}

std::string Base64Encode(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

std::string Base64Decode(std::string_view text) {
  std::string bytes;
  absl::Base64Unescape(absl::string_view(text.data(), text.size()), &bytes);
  return bytes;
}

}  // namespace cartsail
