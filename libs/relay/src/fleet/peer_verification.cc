#include "fleet/peer_verification.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace cartsail {

void PeerVerification::NoteAsked(uint32_t sequence, TimePoint now) {
  questions_.push_back({sequence, now});
  if (questions_.size() > kMaxQuestions) questions_.pop_front();
  if (IsTooOld(now) && !asked_since_too_old_.has_value()) asked_since_too_old_ = now;
}

std::optional<TimePoint> PeerVerification::NoteAnswer(const std::string& peer, uint32_t sequence,
                                                      const StoreView& view) {
  const auto is_asked = [sequence](const Question& asked) { return asked.sequence == sequence; };
  const auto question = std::find_if(questions_.begin(), questions_.end(), is_asked);
  if (question == questions_.end()) return std::nullopt;
  const TimePoint asked = question->asked;
  // A peer that has no catalog yet cannot verify anything.
  if (view.catalog_revision == 0) return asked;
  std::erase_if(answers_, [&peer](const Answer& answer) { return answer.peer == peer; });
  answers_.push_back({peer, asked, view});
  if (answers_.size() > kMaxAnswers) answers_.pop_front();
  return asked;
}

TimePoint PeerVerification::VerifiedByPeers(const OwnState& own) const {
  if (own.live_peers == 0) return {};
  std::vector<TimePoint> asked;
  for (const Answer& answer : answers_) {
    const bool lacks_nothing = answer.view.catalog_revision <= own.view.catalog_revision &&
                               answer.view.document_version <= own.view.document_version;
    if (lacks_nothing) asked.push_back(answer.asked);
  }
  const size_t needed = std::min(kAnswersNeeded, own.live_peers);
  if (asked.size() < needed) return {};
  std::sort(asked.begin(), asked.end(), std::greater<>());
  return asked[needed - 1];
}

void PeerVerification::Update(const OwnState& own, TimePoint now) {
  live_peers_ = own.live_peers;
  verified_ = std::max({verified_, own.confirmed, VerifiedByPeers(own)});
  if (!IsTooOld(now)) asked_since_too_old_.reset();
}

bool PeerVerification::HasGivenUp() const {
  return asked_since_too_old_.has_value() && all_read_ - *asked_since_too_old_ >= kWaitLimit;
}

bool PeerVerification::ShouldAsk(TimePoint now) const {
  const bool is_soon_too_old = now - verified_ > max_age_ * 7 / 10;
  return is_soon_too_old && live_peers_ > 0 && !HasGivenUp() && now - some_asked_ >= kAskInterval;
}

bool PeerVerification::MustWait(TimePoint now) const {
  const bool asks = !questions_.empty();
  return asks && live_peers_ > 0 && IsTooOld(now) && !HasGivenUp();
}

}  // namespace cartsail
