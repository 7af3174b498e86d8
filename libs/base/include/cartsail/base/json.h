// Helpers for Boost.JSON that parse without exceptions and read members with a fallback.
#pragma once

#include <absl/status/statusor.h>

#include <boost/json.hpp>
#include <string>
#include <string_view>

namespace cartsail {

namespace json = boost::json;

// Parses `text`. Returns kMalformedRequest if it is not a single JSON document.
absl::StatusOr<json::value> ParseJson(std::string_view text);

// Parses `text`. Returns kMalformedRequest if it is not a single JSON object.
absl::StatusOr<json::object> ParseJsonObject(std::string_view text);

// Returns the member `key`, or `fallback` if it is absent or of another type. GetInt() also accepts
// a string with a decimal integer.
std::string GetString(const json::object& object, std::string_view key,
                      std::string_view fallback = {});
int64_t GetInt(const json::object& object, std::string_view key, int64_t fallback = 0);
double GetDouble(const json::object& object, std::string_view key, double fallback = 0);
bool GetBool(const json::object& object, std::string_view key, bool fallback = false);

// Returns the member `key`, or nullptr if it is absent or of another type.
const json::object* GetObject(const json::object& object, std::string_view key);
const json::array* GetArray(const json::object& object, std::string_view key);

// Base64 (RFC 4648, with padding), in which the platform's JSON gateway encodes keys and values.
// Base64Decode() returns an empty string for invalid input.
std::string Base64Encode(std::string_view bytes);
std::string Base64Decode(std::string_view text);

}  // namespace cartsail
