// Texts as zstd frames, compressed against an earlier text that both sides have. Pure.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace cartsail {

// With an empty prefix the frame holds the whole text.
std::string CompressFrame(std::string_view prefix, std::string_view text);

// The text. kInvalidArgument when `frame` is none, or was made with another prefix.
absl::StatusOr<std::string> DecompressFrame(std::string_view prefix, std::string_view frame);

}  // namespace cartsail
