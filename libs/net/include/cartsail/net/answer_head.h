// Whether the head of an HTTP answer is one: the one place that says so, for all that read answers.
// Pure.
#pragma once

#include "cartsail/net/http_types.h"

namespace cartsail {

enum class HeadVerdict {
  kFinal,      // the head of the answer
  kInterim,    // 1xx: another head follows
  kMalformed,  // no answer of HTTP/1.1, or one in a transfer coding other than chunks
};

// Interim heads that are read before one answer. A server may send them without end.
inline constexpr int kMaxInterimHeads = 8;

// The verdict on the three digits of a status line: none outside 100 to 599 is a status (RFC 9110,
// 15), and 101 answers no request of this project.
HeadVerdict JudgeStatus(int status);

// The verdict on a whole head, whose syntax the parser has accepted.
HeadVerdict JudgeHead(int status, const HttpHeaders& headers);

}  // namespace cartsail
