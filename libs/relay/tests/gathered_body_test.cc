// The part of an answer that is kept until all of it has come.
#include <memory>
#include <random>
#include <string>

#include "request/buffered_body.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart{seconds(1000)};

std::string TakeAll(ByteBlocks* blocks) {
  std::string all;
  while (!blocks->IsEmpty()) {
    const std::string first = blocks->TakeFirst();
    cr_assert(!first.empty() && first.size() <= ByteBlocks::kMaxBlockBytes);
    all += first;
  }
  return all;
}

Test(byte_blocks, keep_their_order_in_blocks_of_bounded_size) {
  std::mt19937 random(7);
  for (int round = 0; round < 50; ++round) {
    ByteBlocks blocks;
    std::string expected;
    std::string taken;
    for (int i = 0; i < 40; ++i) {
      const std::string bytes(random() % 40000, static_cast<char>('a' + i % 26));
      blocks.Append(bytes);
      expected += bytes;
      if (random() % 4 == 0 && !blocks.IsEmpty()) taken += blocks.TakeFirst();
      cr_assert(blocks.Size() == expected.size() - taken.size());
    }
    taken += TakeAll(&blocks);
    cr_assert(taken == expected);
  }
}

// One string would have taken up to twice as much while it grew.
Test(byte_blocks, take_little_more_memory_than_they_hold) {
  ByteBlocks blocks;
  for (int i = 0; i < 1000; ++i) blocks.Append(std::string(700, 'a'));
  size_t capacity = 0;
  for (const std::string& block : blocks.Blocks()) capacity += block.capacity();
  cr_assert(capacity <= blocks.Size() + 2 * ByteBlocks::kMaxBlockBytes, "%zu of %zu", capacity,
            blocks.Size());
}

// 500 answers of which a quarter of a megabyte was kept each took 130 MB that nobody counted.
Test(gathered_body, counts_among_what_is_held) {
  const auto memory = std::make_shared<MemoryBudget>(int64_t{4} << 20);
  const auto held = std::make_shared<RequestMemory>(memory);
  {
    BufferedBody body(held);
    const std::string piece(10000, 'a');
    for (int i = 0; i < 10; ++i) cr_assert(body.Append(piece, kStart));
    cr_assert(memory->Total() == 100000);
    const std::string first = body.TakeFirst();
    cr_assert(memory->Total() == static_cast<int64_t>(100000 - first.size()));
  }
  cr_assert(memory->Total() == 0);
}

Test(gathered_body, is_passed_on_where_there_is_no_room_and_where_it_is_large) {
  const auto small = std::make_shared<MemoryBudget>(100000);
  const auto held = std::make_shared<RequestMemory>(small);
  BufferedBody body(held);
  const std::string piece(30000, 'a');
  cr_assert(body.Append(piece, kStart) && body.Append(piece, kStart) && body.Append(piece, kStart));
  cr_assert(!body.Append(piece, kStart));
  cr_assert(body.Bytes().Size() == 120000, "what has come is not lost");
  cr_assert(small->Total() <= 100000);
  const auto large = std::make_shared<MemoryBudget>(int64_t{100} << 20);
  BufferedBody whole(std::make_shared<RequestMemory>(large));
  int pieces = 1;
  while (whole.Append(piece, kStart)) ++pieces;
  cr_assert(pieces == 9, "%d", pieces);
}

}  // namespace
}  // namespace cartsail
