// Holds one duty, or tries to when it is free. The holder is named by a record in the store under a
// lease; the record's revision is the fencing token, so that each holder's token is greater than
// all before and no two nodes ever have the same. Few nodes try: the first ones of an order that
// all nodes agree on. One thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "cartsail/duties/holder_lease.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail {

// Nodes that try to hold a duty. With three, the store may turn two of them away.
inline constexpr size_t kDutyCandidates = 3;

class DutyHolder {
 public:
  struct Candidacy {
    std::string node;          // this node's name
    bool first_start = false;  // of the whole system: no process has held a duty before
    // This node's place among the candidates; nothing when it is none.
    std::function<std::optional<size_t>()> rank;
  };

  // `key`: of the record.
  DutyHolder(boost::asio::io_context& io, KeyValueStore& store, std::string key, LeaseTiming terms,
             Candidacy candidacy);

  // Runs until the process ends.
  void Start();

  // Gives the duty up, so that another node can take it at once. For a planned stop.
  boost::asio::awaitable<void> Stop();

  // The token of the lease that this node holds now. For what is given out within the lease alone;
  // calls that another holder could overtake go by MayAct().
  std::optional<FencingToken> Token() const;

  // The token to act with now; nothing when this node may not act. After the act NoteAct().
  std::optional<FencingToken> MayAct() const;
  void NoteAct();

  bool IsHeld() const;
  const std::string& Key() const { return key_; }

  // Asks the store whether the record is still this node's. Gives the duty up when it is not;
  // nothing when the store does not answer.
  boost::asio::awaitable<std::optional<bool>> Confirm();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Renew();
  boost::asio::awaitable<void> TryToTake(size_t rank);
  boost::asio::awaitable<bool> IsFree();
  boost::asio::awaitable<void> Take();
  boost::asio::awaitable<std::optional<KeyValue>> ReadOwn(const std::string& value);
  boost::asio::awaitable<void> GiveUp(std::string_view why);
  void Lose(std::string_view why);
  void Win(FencingToken token, TimePoint asked);

  boost::asio::io_context& io_;
  KeyValueStore& store_;
  std::string key_;
  LeaseTiming terms_;
  Candidacy candidacy_;
  HolderLease lease_;
  int64_t store_lease_ = 0;  // the record's lease in the store
  int64_t attempts_ = 0;     // to take the duty: makes the record's value this attempt's own
  TimePoint renewed_{};
  std::optional<TimePoint> free_since_;
  TimePoint outranked_since_{};
  bool stopping_ = false;
};

}  // namespace cartsail
