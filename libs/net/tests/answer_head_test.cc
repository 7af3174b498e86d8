#include "cartsail/net/answer_head.h"

#include <string>

#include "testing/criterion.h"

namespace cartsail {
namespace {

Test(answer_head, only_100_to_599_are_statuses_and_nobody_asks_for_101) {
  for (int status = 0; status < 1000; ++status) {
    const bool is_status = status >= 100 && status <= 599 && status != 101;
    const HeadVerdict of_status = status < 200 ? HeadVerdict::kInterim : HeadVerdict::kFinal;
    const HeadVerdict expected = is_status ? of_status : HeadVerdict::kMalformed;
    cr_expect(JudgeHead(status, {}) == expected, "%d", status);
  }
}

Test(answer_head, no_transfer_coding_but_chunks_is_decoded) {
  for (const std::string coding : {"chunked", "Chunked", " chunked ", "chunked,"}) {
    const HttpHeaders headers = {{"transfer-encoding", coding}};
    cr_expect(JudgeHead(200, headers) == HeadVerdict::kFinal, "%s", coding.c_str());
  }
  for (const std::string coding : {"", "gzip", "gzip, chunked", "chunked, chunked", "identity"}) {
    const HttpHeaders headers = {{"Transfer-Encoding", coding}};
    cr_expect(JudgeHead(200, headers) == HeadVerdict::kMalformed, "%s", coding.c_str());
  }
  const HttpHeaders two = {{"Transfer-Encoding", "gzip"}, {"Transfer-Encoding", "chunked"}};
  cr_expect(JudgeHead(200, two) == HeadVerdict::kMalformed);
}

}  // namespace
}  // namespace cartsail
