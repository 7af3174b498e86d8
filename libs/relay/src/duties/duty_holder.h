// Holds one duty, or competes for it while it is free (leader election). The holder is named by a
// record in the store under a lease. The record's revision is the fencing token, so that each
// holder's token is greater than all earlier ones and no two nodes ever have the same. Few nodes
// compete: the first ones of a ranking that all nodes agree on. Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "cartsail/duties/holder_lease.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail {

// Number of nodes that compete for a duty. With three, the duty is held even if the store rejects
// two of them.
inline constexpr size_t kDutyCandidates = 3;

class DutyHolder {
 public:
  struct Candidacy {
    std::string node;          // this node's name
    bool first_start = false;  // of the whole system: no process has held a duty before
    // Returns this node's place among the candidates, from 0; nullopt when it is not one.
    std::function<std::optional<size_t>()> rank;
  };

  // `key`: key of the duty's record in the store.
  DutyHolder(boost::asio::io_context& io, KeyValueStore& store, std::string key, LeaseTiming terms,
             Candidacy candidacy);

  // Starts to compete for the duty, until Stop() or the end of the process.
  void Start();

  // Releases the duty, so that another node can take it at once. For a planned shutdown.
  boost::asio::awaitable<void> Stop();

  // Returns the token of the lease that this node holds now; nullopt when it holds none. Only for
  // grants that end with the lease; calls that another holder's calls could overtake need MayAct().
  std::optional<FencingToken> Token() const;

  // Returns the token to act with now; nullopt when this node may not act. Call NoteAct() after the
  // act.
  std::optional<FencingToken> MayAct() const;
  void NoteAct();

  bool IsHeld() const;
  const std::string& Key() const { return key_; }

  // Asks the store whether the record is still this node's, and gives the duty up when it is not.
  // Returns nullopt when the store does not answer.
  boost::asio::awaitable<std::optional<bool>> Confirm();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Renew();
  boost::asio::awaitable<void> TakeIfFree(size_t rank);
  boost::asio::awaitable<bool> IsFree();
  boost::asio::awaitable<void> Take();
  boost::asio::awaitable<std::optional<KeyValue>> ReadOwn(const std::string& value);
  boost::asio::awaitable<void> Release(std::string_view why);
  void Lose(std::string_view why);
  void Win(FencingToken token, TimePoint asked);

  boost::asio::io_context& io_;
  KeyValueStore& store_;
  std::string key_;
  LeaseTiming terms_;
  Candidacy candidacy_;
  HolderLease lease_;
  int64_t store_lease_ = 0;  // id of the record's lease in the store; 0: none
  int64_t attempts_ = 0;     // makes the record's value unique to each attempt to take the duty
  TimePoint renewed_{};
  std::optional<TimePoint> free_since_;
  TimePoint outranked_since_{};
  bool stopping_ = false;
};

}  // namespace cartsail
