// Compression of texts into zstd frames, with an earlier text known to both sides as prefix. Pure.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace cartsail {

// Returns a zstd frame; empty when compression fails. With an empty prefix the frame is
// self-contained.
std::string CompressFrame(std::string_view prefix, std::string_view text);

// Returns the decompressed text; kInvalidArgument when `frame` is invalid, exceeds the size limit
// or was compressed with a different prefix.
absl::StatusOr<std::string> DecompressFrame(std::string_view prefix, std::string_view frame);

}  // namespace cartsail
