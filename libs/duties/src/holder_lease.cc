#include "cartsail/duties/holder_lease.h"

#include <algorithm>

namespace cartsail {

void HolderLease::OnAcquired(FencingToken token, TimePoint asked) {
  token_ = token;
  valid_until_ = EndOf(asked);
  // Another node may have acted since this one did, or since its process before this one did.
  acts_from_ = last_act_ + terms_.lease + terms_.slack;
}

void HolderLease::OnRenewed(TimePoint asked) {
  // A renewal whose answer came after the end may have been carried out after the end as well.
  if (!token_.has_value() || asked >= valid_until_) return;
  valid_until_ = std::max(valid_until_, EndOf(asked));
}

std::optional<FencingToken> HolderLease::Token(TimePoint now) const {
  return IsHeld(now) ? token_ : std::nullopt;
}

std::optional<FencingToken> HolderLease::MayAct(TimePoint now) const {
  if (now < acts_from_) return std::nullopt;
  return Token(now);
}

}  // namespace cartsail
