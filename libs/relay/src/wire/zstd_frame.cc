#include "wire/zstd_frame.h"

#include <fmt/format.h>
#include <zstd.h>

#include <memory>

#include "cartsail/base/status.h"

namespace cartsail {
namespace {

// Low levels limit the compressor's memory to a few hundred KB of a node's 32 MB memory budget.
constexpr int kCompressionLevel = 1;
// Limits the memory allocated for a corrupt frame. The store holds values of up to 1 MB.
constexpr size_t kMaxTextBytes = 16 << 20;

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

absl::Status FrameError(std::string_view why) {
  return MakeError(ErrorKind::kInvalidArgument, fmt::format("zstd frame: {}", why));
}

}  // namespace

std::string CompressFrame(std::string_view prefix, std::string_view text) {
  const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  // Decompression with a different prefix would yield a different text; the checksum detects this.
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size());
  std::string frame(ZSTD_compressBound(text.size()), '\0');
  const size_t size =
      ZSTD_compress2(context.get(), frame.data(), frame.size(), text.data(), text.size());
  frame.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return frame;
}

absl::StatusOr<std::string> DecompressFrame(std::string_view prefix, std::string_view frame) {
  const unsigned long long size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return FrameError("malformed");
  }
  if (size > kMaxTextBytes) {
    return FrameError(fmt::format("content size {} exceeds {} bytes", size, kMaxTextBytes));
  }
  const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(context.get(), prefix.data(), prefix.size());
  std::string text(size, '\0');
  const size_t written =
      ZSTD_decompressDCtx(context.get(), text.data(), text.size(), frame.data(), frame.size());
  if (ZSTD_isError(written) != 0U) return FrameError(ZSTD_getErrorName(written));
  text.resize(written);
  return text;
}

}  // namespace cartsail
