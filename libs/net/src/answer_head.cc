#include "cartsail/net/answer_head.h"

#include "cartsail/base/text.h"

namespace cartsail {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

// True if the body is in no transfer coding or in chunks: no reader decodes another one.
bool IsDecodable(const HttpHeaders& headers) {
  size_t lines = 0;
  size_t codings = 0;
  for (const HttpHeader& header : headers) {
    if (!EqualsIgnoreCase(header.name, "Transfer-Encoding")) continue;
    ++lines;
    for (const std::string_view coding : SplitFields(header.value, ',')) {
      if (!EqualsIgnoreCase(coding, "chunked")) return false;
      ++codings;
    }
  }
  return lines == 0 || codings == 1;
}

}  // namespace

HeadVerdict JudgeStatus(int status) {
  if (status < kMinStatus || status > kMaxStatus) return HeadVerdict::kMalformed;
  // No request asks for another protocol, and its bytes would be read as the next head.
  if (status == kSwitchingProtocols) return HeadVerdict::kMalformed;
  return status < kMinFinalStatus ? HeadVerdict::kInterim : HeadVerdict::kFinal;
}

HeadVerdict JudgeHead(int status, const HttpHeaders& headers) {
  const HeadVerdict verdict = JudgeStatus(status);
  if (verdict != HeadVerdict::kFinal) return verdict;
  return IsDecodable(headers) ? HeadVerdict::kFinal : HeadVerdict::kMalformed;
}

}  // namespace cartsail
