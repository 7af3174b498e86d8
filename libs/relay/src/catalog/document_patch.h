// A routing document as what it adds to an earlier one (zstd, the earlier one as its prefix). Pure.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cartsail {

// A version of the document as another version and what is added to it.
struct DocumentPatch {
  int64_t base_version = 0;  // 0: made of nothing
  std::string bytes;
};

// What `text` adds to `base`; an empty base packs the whole text. A document of 12 KB in which one
// route was added packs into about 0.1 KB, whole into about 3 KB.
std::string MakeDocumentPatch(std::string_view base, std::string_view text);

// The text. kInvalidArgument when `patch` is none, or was made of another base.
absl::StatusOr<std::string> ApplyDocumentPatch(std::string_view base, std::string_view patch);

}  // namespace cartsail
