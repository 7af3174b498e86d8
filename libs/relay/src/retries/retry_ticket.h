// One repeat that a request may make, from its grant until it can no longer arrive anywhere.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "cartsail/base/clock.h"
#include "cartsail/retries/retry_budget.h"

namespace cartsail {

class RetryTicket {
 public:
  // `lender`: the node that lent it; empty: none.
  RetryTicket(std::shared_ptr<ServiceRetryBudget> budget, const RepeatGrant& grant,
              std::string lender)
      : budget_(std::move(budget)), grant_(grant), lender_(std::move(lender)) {}

  // Ends as sent now, or as not sent.
  ~RetryTicket();

  RetryTicket(const RetryTicket&) = delete;
  RetryTicket& operator=(const RetryTicket&) = delete;

  const RepeatGrant& Grant() const { return grant_; }
  const std::string& Lender() const { return lender_; }

  bool MaySend(TimePoint now) const { return !is_ended_ && now <= grant_.send_by; }

  void NoteSent() { is_sent_ = true; }

  // What was told as sent was not sent after all.
  void NoteNotSent() { is_sent_ = false; }

  // It has reached a back end by `arrives_by`, or never will.
  void Close(TimePoint arrives_by);

 private:
  std::shared_ptr<ServiceRetryBudget> budget_;  // exchanges may outlive what else they share
  RepeatGrant grant_;
  std::string lender_;
  bool is_sent_ = false;
  bool is_ended_ = false;
};

}  // namespace cartsail
