#include "catalog/document_patch.h"

#include "wire/zstd_frame.h"

namespace cartsail {

std::string MakeDocumentPatch(std::string_view base, std::string_view text) {
  return CompressFrame(base, text);
}

absl::StatusOr<std::string> ApplyDocumentPatch(std::string_view base, std::string_view patch) {
  return DecompressFrame(base, patch);
}

}  // namespace cartsail
