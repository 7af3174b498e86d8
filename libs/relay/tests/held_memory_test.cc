// What is given up when requests and answers outgrow the memory set aside for them.
#include <memory>
#include <vector>

#include "request/memory_budget.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart{seconds(1000)};
constexpr int64_t kLimit = 20 * kRequestStateBytes;
constexpr int64_t kAnswer = 2 * kRequestStateBytes;

struct Held {
  explicit Held(const std::shared_ptr<MemoryBudget>& memory) : request(memory) {
    request.SetAbortHandler([this](int64_t waiting, Duration alone) {
      ++times_given_up;
      bytes = waiting;
      left_alone = alone;
    });
  }
  RequestMemory request;
  int times_given_up = 0;
  int64_t bytes = 0;
  Duration left_alone{};
};

std::vector<std::unique_ptr<Held>> Some(int count, const std::shared_ptr<MemoryBudget>& memory) {
  std::vector<std::unique_ptr<Held>> some;
  for (int i = 0; i < count; ++i) {
    some.push_back(std::make_unique<Held>(memory));
    cr_assert(some.back()->request.Reserve(0, kStart));
  }
  return some;
}

Test(held_memory, the_answer_that_was_left_alone_for_longest_is_given_up) {
  const auto memory = std::make_shared<MemoryBudget>(kLimit);
  const auto held = Some(6, memory);
  for (int i = 0; i < 6; ++i) {
    held[static_cast<size_t>(i)]->request.NoteWaiting(kAnswer, kStart + milliseconds(100) * i);
  }
  held[0]->request.NoteTaken(kAnswer - 1, kStart + seconds(2));  // slow, but reading
  const Held late(memory);
  cr_assert(memory->Total() > kLimit - 3 * kRequestStateBytes);
  Held newcomer(memory);
  cr_assert(newcomer.request.Reserve(2 * kRequestStateBytes, kStart + seconds(3)));
  cr_assert(held[1]->times_given_up == 1 && held[1]->bytes == kAnswer);
  cr_assert(held[1]->left_alone == milliseconds(2900));
  for (const size_t other : {0U, 2U, 3U, 4U, 5U}) cr_assert(held[other]->times_given_up == 0);
  cr_assert(memory->Total() <= kLimit);
}

// Nobody is cut for a newcomer, which can be told to come back.
Test(held_memory, a_request_is_refused_while_all_callers_read) {
  const auto memory = std::make_shared<MemoryBudget>(kLimit);
  const auto held = Some(6, memory);
  for (const auto& one : held) one->request.NoteWaiting(kAnswer, kStart);
  Held newcomer(memory);
  cr_assert(!newcomer.request.Reserve(2 * kRequestStateBytes, kStart + milliseconds(900)));
  for (const auto& one : held) cr_assert(one->times_given_up == 0);
}

Test(held_memory, never_exceeds_its_limit) {
  const auto memory = std::make_shared<MemoryBudget>(kLimit);
  const auto held = Some(10, memory);
  for (int step = 1; step <= 100; ++step) {
    for (const auto& one : held) {
      if (one->times_given_up > 0) continue;
      one->request.NoteWaiting(step * 1000, kStart + milliseconds(step));
      cr_assert(memory->Total() <= kLimit, "%ld", memory->Total());
    }
  }
  for (const auto& one : held) cr_assert(one->times_given_up <= 1);
}

// Before the limit is reached: what is given up then are answers that were left alone, and nothing
// where all callers read.
Test(held_memory, that_is_full_gives_up_only_what_was_left_alone) {
  const auto memory = std::make_shared<MemoryBudget>(kLimit);
  const auto held = Some(6, memory);
  cr_assert(!held[0]->request.IsFull(kStart));
  for (const auto& one : held) one->request.NoteWaiting(kAnswer, kStart);
  cr_assert(held[0]->request.IsFull(kStart + milliseconds(900)));
  for (const auto& one : held) cr_assert(one->times_given_up == 0);
  held[0]->request.NoteTaken(kAnswer, kStart + milliseconds(800));
  cr_assert(!held[0]->request.IsFull(kStart + milliseconds(1100)));
  cr_assert(held[0]->times_given_up == 0);
  int given_up = 0;
  for (const auto& one : held) given_up += one->times_given_up;
  cr_assert(given_up == 1, "as many as it takes: %d", given_up);
}

Test(held_memory, what_is_freed_twice_or_after_it_was_given_up_counts_once) {
  const auto memory = std::make_shared<MemoryBudget>(kLimit);
  const auto held = Some(1, memory);
  cr_assert(held[0]->request.ReserveMore(1000, kStart));
  held[0]->request.Free(1000);
  cr_assert(memory->Total() == kRequestStateBytes);
  held[0]->request.NoteWaiting(kLimit, kStart);
  cr_assert(held[0]->times_given_up == 1 && memory->Total() == 0);
  held[0]->request.Free(kRequestStateBytes);
  cr_assert(memory->Total() == 0);
}

Test(held_memory, what_is_released_is_free) {
  const auto memory = std::make_shared<MemoryBudget>(kLimit);
  {
    const auto held = Some(10, memory);
    held[3]->request.NoteWaiting(kAnswer, kStart);
    cr_assert(memory->Total() == 10 * kRequestStateBytes + kAnswer);
  }
  cr_assert(memory->Total() == 0);
}

}  // namespace
}  // namespace cartsail
