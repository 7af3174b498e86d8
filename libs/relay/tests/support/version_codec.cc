#include "version_codec.h"

#include <fmt/format.h>

#include "cartsail/base/status.h"
#include "cartsail/base/text.h"
#include "relay_fixture.h"

namespace cartsail::testing {
namespace {

constexpr size_t kDocumentBytes = 12000;

}  // namespace

std::string DocumentText(int64_t version) {
  std::string text = fmt::format("{} ", version);
  for (int i = 0; text.size() < kDocumentBytes; ++i) text += fmt::format("route-{} ", i);
  return text;
}

absl::StatusOr<RoutingDocument> VersionCodec::DecodeDocument(std::string_view text) const {
  RoutingDocument document = PlainDocument();
  const bool ok = ParseInteger(text.substr(0, text.find(' ')), &document.version);
  if (!ok) return MakeError(ErrorKind::kInvalidSetting, "no version");
  return document;
}

absl::StatusOr<Backend> VersionCodec::DecodeBackend(std::string_view id, std::string_view text,
                                                    TimePoint /*now*/) const {
  if (text.starts_with(kUnreadableEntry))
    return MakeError(ErrorKind::kInvalidSetting, "unreadable");
  Backend backend;
  backend.id = std::string(id);
  backend.service = std::string(text);
  backend.address = "127.0.0.1:1";
  return backend;
}

}  // namespace cartsail::testing
