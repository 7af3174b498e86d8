// Accounts for the memory that a node uses on behalf of its callers: request bodies, and response
// bytes that callers have not read yet. Callers and back ends may read slowly or not at all, so the
// total is bounded. When the limit is reached, the response whose caller has stalled for longest is
// aborted: other responses are not delayed, and the process stays within the machine's memory.
// No I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "cartsail/base/clock.h"

namespace cartsail {

// Memory of one request apart from its body and its answer: two connections with their buffers, and
// the coroutines.
inline constexpr int64_t kRequestStateBytes = int64_t{40} << 10;

class MemoryBudget {
 public:
  using HolderId = uint64_t;

  // `limit`: total bytes for all requests.
  explicit MemoryBudget(int64_t limit) : limit_(limit) {}

  // Reserves `bytes` for a request, aborting stalled answers if necessary. Returns false if the
  // limit would be exceeded; the request must then be refused before its body is read.
  bool Reserve(HolderId holder, int64_t bytes, TimePoint now);

  // Returns `bytes` of the holder's reservation.
  void Free(HolderId holder, int64_t bytes);

  // Returns true while usage is above the soft limit: an answer with unsent bytes must not be read
  // further. Aborts stalled answers first. Without this soft limit, a burst of answers could abort
  // one whose caller is reading, before it shows which callers have stopped.
  bool IsFull(TimePoint now);

  // Makes the holder's answer eligible for an abort. `on_abort` is called at most once, with the
  // unsent bytes and the time since the caller last read something; it must close the request's
  // connections, so that what the request holds is freed.
  void SetAbortHandler(HolderId holder,
                       std::function<void(int64_t bytes, Duration stalled_for)> on_abort);

  // Sets the holder's unsent answer bytes to `bytes`. May abort answers, including this one.
  void NoteWaiting(HolderId holder, int64_t bytes, TimePoint now);

  // Records that the caller has read part of the answer; `bytes` remain unsent.
  void NoteTaken(HolderId holder, int64_t bytes, TimePoint now);

  // Removes the holder and everything that it holds.
  void Release(HolderId holder);

  HolderId NewHolder() { return next_holder_++; }

  int64_t Total() const { return total_; }
  int64_t Limit() const { return limit_; }

 private:
  struct Holder {
    int64_t reserved = 0;
    int64_t waiting = 0;      // unsent bytes of the answer
    TimePoint last_progress;  // when the caller last read something, or had nothing left to read
    std::function<void(int64_t bytes, Duration stalled_for)> on_abort;
  };

  // Aborts answers, the longest stalled first, until at most `target` bytes are held. Answers that
  // have stalled for less than `min_stall` are kept.
  void EvictDownTo(int64_t target, Duration min_stall, TimePoint now);

  int64_t limit_;
  int64_t total_ = 0;
  HolderId next_holder_ = 1;
  std::unordered_map<HolderId, Holder> holders_;
};

// The share of a MemoryBudget that belongs to one request; released on destruction.
class RequestMemory {
 public:
  // Shares ownership of the budget: a write in progress may outlive the node's other state.
  explicit RequestMemory(std::shared_ptr<MemoryBudget> memory)
      : memory_(std::move(memory)), holder_(memory_->NewHolder()) {}
  ~RequestMemory() { memory_->Release(holder_); }
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  // As MemoryBudget::Reserve(), for a request with a body of `body_bytes`.
  bool Reserve(int64_t body_bytes, TimePoint now) {
    return memory_->Reserve(holder_, kRequestStateBytes + body_bytes, now);
  }
  // Reserves `bytes` more, as MemoryBudget::Reserve().
  bool ReserveMore(int64_t bytes, TimePoint now) { return memory_->Reserve(holder_, bytes, now); }
  void Free(int64_t bytes) { memory_->Free(holder_, bytes); }
  bool IsFull(TimePoint now) { return memory_->IsFull(now); }
  void SetAbortHandler(std::function<void(int64_t bytes, Duration stalled_for)> on_abort) {
    memory_->SetAbortHandler(holder_, std::move(on_abort));
  }
  void NoteWaiting(int64_t bytes, TimePoint now) { memory_->NoteWaiting(holder_, bytes, now); }
  void NoteTaken(int64_t bytes, TimePoint now) { memory_->NoteTaken(holder_, bytes, now); }

 private:
  std::shared_ptr<MemoryBudget> memory_;
  MemoryBudget::HolderId holder_;
};

}  // namespace cartsail
