#include "cartsail/net/answer_head.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

Test(answer_head, only_100_to_599_are_statuses) {
  for (int status = 0; status < 1000; ++status) {
    const bool is_status = status >= 100 && status <= 599;
    const HeadVerdict of_status = status < 200 ? HeadVerdict::kInterim : HeadVerdict::kFinal;
    const HeadVerdict expected = is_status ? of_status : HeadVerdict::kMalformed;
    cr_expect(JudgeHead(status, {}) == expected, "%d", status);
  }
}

}  // namespace
}  // namespace cartsail
