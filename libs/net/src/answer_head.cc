#include "cartsail/net/answer_head.h"

namespace cartsail {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

}  // namespace

HeadVerdict JudgeStatus(int status) {
  if (status < kMinStatus || status > kMaxStatus) return HeadVerdict::kMalformed;
  return status < kMinFinalStatus ? HeadVerdict::kInterim : HeadVerdict::kFinal;
}

HeadVerdict JudgeHead(int status, const HttpHeaders& /*headers*/) { return JudgeStatus(status); }

}  // namespace cartsail
