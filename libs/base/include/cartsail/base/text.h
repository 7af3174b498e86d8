// Text helpers of Abseil for std::string_view, which Debian's Abseil does not take.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cartsail {

bool EqualsIgnoreCase(std::string_view left, std::string_view right);
bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix);

// Without white space at both ends.
std::string_view Trimmed(std::string_view text);

// The trimmed fields between separators; empty ones are left out.
std::vector<std::string_view> SplitFields(std::string_view text, char separator);

// A whole decimal number; false when the text is anything else.
bool ParseInteger(std::string_view text, int64_t* value);

// A whole hexadecimal number without a prefix; false when the text is anything else.
bool ParseHexadecimal(std::string_view text, uint64_t* value);

}  // namespace cartsail
