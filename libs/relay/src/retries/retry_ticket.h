// One retry of a request, from its grant until it can no longer arrive at any back end.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "cartsail/base/clock.h"
#include "cartsail/retries/retry_budget.h"

namespace cartsail {

class RetryTicket {
 public:
  // `lender`: host of the node that lent the retry; empty: it was not borrowed.
  RetryTicket(std::shared_ptr<ServiceRetryBudget> budget, const RetryGrant& grant,
              std::string lender)
      : budget_(std::move(budget)), grant_(grant), lender_(std::move(lender)) {}

  // Closes the ticket with the current time unless it is closed.
  ~RetryTicket();

  RetryTicket(const RetryTicket&) = delete;
  RetryTicket& operator=(const RetryTicket&) = delete;

  const RetryGrant& Grant() const { return grant_; }
  const std::string& Lender() const { return lender_; }

  bool MaySend(TimePoint now) const { return !is_closed_ && now <= grant_.send_by; }

  void NoteSent() { is_sent_ = true; }

  // Takes NoteSent() back: the retry was not sent after all.
  void NoteNotSent() { is_sent_ = false; }

  // A retry that was sent has reached a back end by `arrives_by` or never will; one that was not
  // sent is returned to the budget. Has no effect on a closed ticket.
  void Close(TimePoint arrives_by);

 private:
  // Shared: an exchange may outlive the other objects that it shares.
  std::shared_ptr<ServiceRetryBudget> budget_;
  RetryGrant grant_;
  std::string lender_;
  bool is_sent_ = false;
  bool is_closed_ = false;
};

}  // namespace cartsail
