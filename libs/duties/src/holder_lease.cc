#include "cartsail/duties/holder_lease.h"

#include <algorithm>

namespace cartsail {

void HolderLease::OnAcquired(FencingToken token, TimePoint requested_at) {
  token_ = token;
  valid_until_ = EndOf(requested_at);
  // Another node may have acted since the last action of this process or of its predecessor.
  acts_from_ = last_act_ + timing_.lease + timing_.slack;
}

void HolderLease::OnRenewed(TimePoint requested_at) {
  // A renewal requested after the lease expired may have been carried out after its end as well.
  if (!token_.has_value() || requested_at >= valid_until_) return;
  valid_until_ = std::max(valid_until_, EndOf(requested_at));
}

std::optional<FencingToken> HolderLease::Token(TimePoint now) const {
  return IsHeld(now) ? token_ : std::nullopt;
}

std::optional<FencingToken> HolderLease::MayAct(TimePoint now) const {
  if (now < acts_from_) return std::nullopt;
  return Token(now);
}

}  // namespace cartsail
