// Text helpers for std::string_view, which the functions of Debian's Abseil do not accept.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cartsail {

bool EqualsIgnoreCase(std::string_view left, std::string_view right);
bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix);

// Returns `text` without white space at both ends.
std::string_view Trimmed(std::string_view text);

// Splits `text` at the separators into trimmed fields and omits empty ones.
std::vector<std::string_view> SplitFields(std::string_view text, char separator);

// Parses a decimal integer. Returns false if the text is anything else.
bool ParseInteger(std::string_view text, int64_t* value);

// Parses a hexadecimal integer without a prefix. Returns false if the text is anything else.
bool ParseHexadecimal(std::string_view text, uint64_t* value);

}  // namespace cartsail
