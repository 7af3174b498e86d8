#include "retries/retry_ticket.h"

namespace cartsail {

RetryTicket::~RetryTicket() { Close(Now()); }

void RetryTicket::Close(TimePoint arrives_by) {
  if (is_closed_) return;
  is_closed_ = true;
  if (is_sent_) {
    budget_->Close(grant_, arrives_by);
  } else {
    budget_->Cancel(grant_);
  }
}

}  // namespace cartsail
