// Small helpers over Boost.JSON: reading members with a typed error instead of an exception.
#pragma once

#include <absl/status/statusor.h>

#include <boost/json.hpp>
#include <string>
#include <string_view>

namespace cartsail {

namespace json = boost::json;

// Parses `text`; kMalformedRequest when it is not one JSON document.
absl::StatusOr<json::value> ParseJson(std::string_view text);

// Parses `text`; kMalformedRequest when it is not one JSON object.
absl::StatusOr<json::object> ParseJsonObject(std::string_view text);

// The member `key` as the type asked for, or `fallback` when absent or of another type.
std::string GetString(const json::object& object, std::string_view key,
                      std::string_view fallback = {});
int64_t GetInt(const json::object& object, std::string_view key, int64_t fallback = 0);
double GetDouble(const json::object& object, std::string_view key, double fallback = 0);
bool GetBool(const json::object& object, std::string_view key, bool fallback = false);

// The member `key` as an object or array, or nullptr.
const json::object* GetObject(const json::object& object, std::string_view key);
const json::array* GetArray(const json::object& object, std::string_view key);

// Base64 (RFC 4648, with padding), as the platform's JSON gateway encodes keys and values.
std::string Base64Encode(std::string_view bytes);
std::string Base64Decode(std::string_view text);

}  // namespace cartsail
