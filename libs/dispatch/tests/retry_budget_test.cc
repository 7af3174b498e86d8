#include "cartsail/dispatch/retry_budget.h"

#include <algorithm>
#include <random>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

RetryBudgetOptions Options(double extra) {
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.extra = extra;
  return options;
}

Test(retry_budget, nodes_share_the_extra) {
  ServiceRetryBudget budget(Options(50));
  int taken = 0;
  while (budget.TakeRepeat(kStart, 10)) ++taken;
  cr_assert(taken == 4);  // 50 / 10, of which a fifth stays unused
}

Test(retry_budget, the_window_moves_on) {
  ServiceRetryBudget budget(Options(0));
  for (int i = 0; i < 100; ++i) budget.NoteRequest(kStart);
  int taken = 0;
  while (budget.TakeRepeat(kStart, 1)) ++taken;
  cr_assert(taken == 16);
  cr_assert(!budget.TakeRepeat(kStart + seconds(11), 1));
}

// The promise over all nodes: in any window, repeats <= 0.2 x requests + extra, where the requests
// of the window or of the one before count, whichever holds more.
Test(retry_budget, ten_nodes_keep_the_bound_together_in_every_window) {
  for (uint32_t seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    std::vector<ServiceRetryBudget> nodes(10, ServiceRetryBudget(Options(56)));
    std::vector<int> requests(400, 0);
    std::vector<int> repeats(400, 0);
    for (int tick = 0; tick < 400; ++tick) {
      const TimePoint now = kStart + milliseconds(100) * tick;
      const int rate = (tick / 60) % 2 == 0 ? 40 : 5;
      for (int i = 0; i < rate; ++i) {
        ServiceRetryBudget& node = nodes[random() % nodes.size()];
        node.NoteRequest(now);
        ++requests[static_cast<size_t>(tick)];
        if (random() % 2 == 0 && node.TakeRepeat(now, 10)) ++repeats[static_cast<size_t>(tick)];
      }
    }
    for (size_t end = 200; end <= 400; ++end) {
      int window_requests = 0;
      int window_repeats = 0;
      int earlier_requests = 0;
      for (size_t i = end - 100; i < end; ++i) {
        window_requests += requests[i];
        window_repeats += repeats[i];
        earlier_requests += requests[i - 100];
      }
      const int counted = std::max(window_requests, earlier_requests);
      cr_assert(window_repeats <= 0.2 * counted + 56);
    }
  }
}

}  // namespace
}  // namespace cartsail
