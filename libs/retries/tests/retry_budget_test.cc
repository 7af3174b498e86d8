#include "cartsail/retries/retry_budget.h"

#include <algorithm>
#include <random>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));
constexpr double kNoExtraShare = 0;
constexpr double kFullExtraShare = 1;

RetryBudgetOptions Options(double extra) {
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.extra = extra;
  return options;
}

// Takes a retry that arrives at once.
bool Retry(ServiceRetryBudget& budget, TimePoint now, double extra_share = kNoExtraShare) {
  const std::optional<RetryGrant> grant = budget.Take(now, extra_share);
  if (grant.has_value()) budget.Close(*grant, now);
  return grant.has_value();
}

int RetryAll(ServiceRetryBudget& budget, TimePoint now, double extra_share = kNoExtraShare) {
  int taken = 0;
  while (Retry(budget, now, extra_share)) ++taken;
  return taken;
}

void NoteRequests(ServiceRetryBudget& budget, int requests, TimePoint now) {
  for (int i = 0; i < requests; ++i) budget.NoteRequest(now);
}

Test(retry_budget, only_the_holder_gives_out_the_extra) {
  ServiceRetryBudget budget(Options(50));
  cr_assert(RetryAll(budget, kStart) == 0);
  cr_assert(RetryAll(budget, kStart, kFullExtraShare) == 50);
  cr_assert(RetryAll(budget, kStart + milliseconds(9900), kFullExtraShare) == 0);
  cr_assert(RetryAll(budget, kStart + milliseconds(10200), kFullExtraShare) == 50);
}

Test(retry_budget, the_window_moves_on) {
  ServiceRetryBudget budget(Options(0));
  NoteRequests(budget, 100, kStart);
  cr_assert(RetryAll(budget, kStart) == 10, "half in the window of the requests");
  cr_assert(!Retry(budget, kStart + seconds(11)));
}

Test(retry_budget, all_that_steady_requests_allow_is_usable) {
  ServiceRetryBudget budget(Options(0));
  int64_t taken = 0;
  for (int tick = 0; tick < 600; ++tick) {
    const TimePoint now = kStart + milliseconds(100) * tick;
    NoteRequests(budget, 5, now);
    if (tick >= 200) taken += RetryAll(budget, now);
  }
  cr_assert(static_cast<double>(taken) > 0.95 * 0.2 * 5 * 400, "%d", static_cast<int>(taken));
}

Test(retry_budget, an_open_retry_counts_in_every_window) {
  ServiceRetryBudget budget(Options(10));
  std::vector<RetryGrant> open;
  for (int i = 0; i < 10; ++i) open.push_back(*budget.Take(kStart, kFullExtraShare));
  const TimePoint later = kStart + seconds(25);
  cr_assert(!Retry(budget, later, kFullExtraShare));
  budget.Cancel(open[0]);
  cr_assert(Retry(budget, later, kFullExtraShare), "one is not sent");
  for (int i = 1; i < 10; ++i) budget.Close(open[static_cast<size_t>(i)], later);
  cr_assert(!Retry(budget, later + seconds(9), kFullExtraShare));
  cr_assert(Retry(budget, later + milliseconds(10200), kFullExtraShare));
}

Test(retry_budget, a_loan_counts_at_its_lender_and_one_that_arrives_late_at_its_borrower_too) {
  ServiceRetryBudget lender(Options(0));
  ServiceRetryBudget borrower(Options(0));
  NoteRequests(lender, 100, kStart);
  NoteRequests(borrower, 10, kStart);
  int lent = 0;
  while (lender.Lend(kStart, kNoExtraShare)) ++lent;
  cr_assert(lent == 10);
  const RetryGrant in_time = borrower.TakeLoan(kStart);
  borrower.Close(in_time, kStart + milliseconds(10));
  cr_assert(borrower.RemainingRequestBudget(kStart) == 1);
  const RetryGrant late = borrower.TakeLoan(kStart);
  cr_assert(borrower.RemainingRequestBudget(kStart) == 0, "it may arrive late");
  borrower.Close(late, kStart + seconds(2));
  cr_assert(borrower.RemainingRequestBudget(kStart) == 0);
}

// The bound over all nodes: in any window, retries <= 0.2 x requests + extra, where the requests of
// the window or of the one before count, whichever are more.
Test(retry_budget, ten_nodes_keep_the_bound_together_in_every_window) {
  for (uint32_t seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    std::vector<ServiceRetryBudget> nodes(10, ServiceRetryBudget(Options(56)));
    std::vector<int> requests(400, 0);
    std::vector<int> retries(400, 0);
    for (int tick = 0; tick < 400; ++tick) {
      const TimePoint now = kStart + milliseconds(100) * tick;
      const int rate = (tick / 60) % 2 == 0 ? 40 : 5;
      for (int i = 0; i < rate; ++i) {
        const size_t index = random() % nodes.size();
        ServiceRetryBudget& node = nodes[index];
        node.NoteRequest(now);
        ++requests[static_cast<size_t>(tick)];
        const double extra_share = index == 0 ? kFullExtraShare : kNoExtraShare;
        if (random() % 2 == 0 && Retry(node, now, extra_share)) {
          ++retries[static_cast<size_t>(tick)];
        }
      }
    }
    for (size_t end = 100; end <= 400; ++end) {
      int window_requests = 0;
      int window_retries = 0;
      int earlier_requests = 0;
      for (size_t i = end - 100; i < end; ++i) {
        window_requests += requests[i];
        window_retries += retries[i];
        earlier_requests += i < 100 ? 0 : requests[i - 100];
      }
      const int counted = std::max(window_requests, earlier_requests);
      cr_assert(window_retries <= 0.2 * counted + 56);
    }
  }
}

}  // namespace
}  // namespace cartsail
