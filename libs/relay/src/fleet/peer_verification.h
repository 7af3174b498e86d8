// Tells how old this node's knowledge of the store may be, from the answers to its own questions:
// what a peer answers was true after the question was sent, however long the answer waited to be
// read. The age that a message states does not show this, since the message may be read long after
// it was written. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "cartsail/base/clock.h"
#include "fleet/gossip_message.h"

namespace cartsail {

class PeerVerification {
 public:
  // A single peer may lack the newest changes as well.
  static constexpr size_t kAnswersNeeded = 2;
  static constexpr size_t kPeersAsked = 3;
  // Interval at which peers are asked while requests wait or soon would.
  static constexpr Duration kAskInterval = milliseconds(100);
  // Requests wait no longer than this for answers: a node that is cut off from its peers and from
  // the store gets none.
  static constexpr Duration kWaitLimit = milliseconds(500);

  // What this node knows without its peers' answers.
  struct OwnState {
    StoreView view;
    TimePoint confirmed;  // as of then the store confirmed all of it; TimePoint(): never
    size_t live_peers = 0;
  };

  // `max_age`: requests are not sent by knowledge that was last verified longer ago.
  explicit PeerVerification(Duration max_age) : max_age_(max_age) {}

  // Records that a question with this sequence is about to be sent to a peer.
  void NoteAsked(uint32_t sequence, TimePoint now);

  // Records that some peers have been asked besides the regular questions.
  void NoteSomeAsked(TimePoint now) { some_asked_ = now; }

  // Records that `peer` has answered the question `sequence` with its view of the store. Returns
  // when the question was sent; nullopt when it is unknown.
  std::optional<TimePoint> NoteAnswer(const std::string& peer, uint32_t sequence,
                                      const StoreView& view);

  // Records that all datagrams that arrived before `now` have been read.
  void NoteAllRead(TimePoint now) { all_read_ = now; }

  // Recomputes as of when the knowledge is verified. To be called before the following questions.
  void Update(const OwnState& own, TimePoint now);

  // As of when this node's knowledge is known to be complete; TimePoint(): never.
  TimePoint Verified() const { return verified_; }

  // True if requests are not to be sent by what this node knows.
  bool IsTooOld(TimePoint now) const { return now - verified_ > max_age_; }

  // True if some peers should be asked now, besides the regular questions.
  bool ShouldAsk(TimePoint now) const;

  // True if the knowledge is too old to send a request by, and an answer may still come.
  bool MustWait(TimePoint now) const;

 private:
  struct Question {
    uint32_t sequence = 0;
    TimePoint asked;
  };

  struct Answer {
    std::string peer;
    TimePoint asked;
    StoreView view;
  };

  // Some ten questions a second are asked, and answers may wait for seconds.
  static constexpr size_t kMaxQuestions = 64;
  static constexpr size_t kMaxAnswers = 8;

  // No answer came to what was asked since the knowledge is too old.
  bool HasGivenUp() const;
  TimePoint VerifiedByPeers(const OwnState& own) const;

  Duration max_age_;
  std::deque<Question> questions_;  // oldest first
  std::deque<Answer> answers_;      // oldest first, the latest one of each peer
  size_t live_peers_ = 0;
  TimePoint verified_{};
  TimePoint some_asked_{};
  TimePoint all_read_{};
  std::optional<TimePoint> asked_since_too_old_;  // the first question since then
};

}  // namespace cartsail
