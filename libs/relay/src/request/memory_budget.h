// What a node holds in memory for its callers: bodies of requests, and answers that callers have
// not taken yet. Callers and back ends may read slowly, or not at all; what is held for all of them
// together is bounded. Where it is not enough, the answer that its caller has left alone for
// longest is given up, so that no other one is held up and the process never outgrows its machine.
// Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "cartsail/base/clock.h"

namespace cartsail {

// A request's own state beside its body and its answer: two connections with their buffers, the
// coroutines.
inline constexpr int64_t kRequestStateBytes = int64_t{40} << 10;

class MemoryBudget {
 public:
  using HolderId = uint64_t;

  // `limit`: bytes for all requests together.
  explicit MemoryBudget(int64_t limit) : limit_(limit) {}

  // Takes `bytes` for a request, if need be by giving up answers that were left alone. False where
  // there is no room: the request is to be refused before its body is read.
  bool Reserve(HolderId holder, int64_t bytes, TimePoint now);

  // The request needs `bytes` of what it took no longer.
  void Free(HolderId holder, int64_t bytes);

  // No answer is to be read on of which something waits already. Gives up those that were left
  // alone: without it an answer whose caller reads could be the one that is given up when many
  // come at once, before it shows which of them have stopped.
  bool IsFull(TimePoint now);

  // The request's answer may be given up: `give_up` is called once, and has to free what is held.
  void SetAbortHandler(HolderId holder,
                       std::function<void(int64_t bytes, Duration left_alone)> give_up);

  // `bytes` of its answer wait for the caller. May give up answers, this one among them.
  void NoteWaiting(HolderId holder, int64_t bytes, TimePoint now);

  // The caller has taken something; `bytes` still wait.
  void NoteTaken(HolderId holder, int64_t bytes, TimePoint now);

  void Release(HolderId holder);

  HolderId NewHolder() { return next_holder_++; }

  int64_t Total() const { return total_; }
  int64_t Limit() const { return limit_; }

 private:
  struct Holder {
    int64_t reserved = 0;
    int64_t waiting = 0;  // of the answer
    TimePoint taken;      // when the caller last took something, or had taken all
    std::function<void(int64_t bytes, Duration left_alone)> give_up;
  };

  // Gives up answers until no more than `most` bytes are held. Those left alone for less than
  // `patience` are kept.
  void ReduceTo(int64_t most, Duration patience, TimePoint now);

  int64_t limit_;
  int64_t total_ = 0;
  HolderId next_holder_ = 1;
  std::unordered_map<HolderId, Holder> holders_;
};

// One request's part of it.
class RequestMemory {
 public:
  // May outlive the node's other state, in what is still being written.
  explicit RequestMemory(std::shared_ptr<MemoryBudget> memory)
      : memory_(std::move(memory)), holder_(memory_->NewHolder()) {}
  ~RequestMemory() { memory_->Release(holder_); }
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  // As MemoryBudget::Reserve(), for a request with a body of `body_bytes`.
  bool Reserve(int64_t body_bytes, TimePoint now) {
    return memory_->Reserve(holder_, kRequestStateBytes + body_bytes, now);
  }
  // The same for `bytes` more.
  bool ReserveMore(int64_t bytes, TimePoint now) { return memory_->Reserve(holder_, bytes, now); }
  void Free(int64_t bytes) { memory_->Free(holder_, bytes); }
  bool IsFull(TimePoint now) { return memory_->IsFull(now); }
  void SetAbortHandler(std::function<void(int64_t bytes, Duration left_alone)> give_up) {
    memory_->SetAbortHandler(holder_, std::move(give_up));
  }
  void NoteWaiting(int64_t bytes, TimePoint now) { memory_->NoteWaiting(holder_, bytes, now); }
  void NoteTaken(int64_t bytes, TimePoint now) { memory_->NoteTaken(holder_, bytes, now); }

 private:
  std::shared_ptr<MemoryBudget> memory_;
  MemoryBudget::HolderId holder_;
};

}  // namespace cartsail
