// Bounds the repeats of a service over all nodes: in every window, those that reach its back ends
// are at most `ratio` for each request and `extra` beside them. No node has to know of another one
// for that: a repeat is paid for by a request that came to this process, by the part of the extra
// that the holder of its lease gives out, or by another node that takes it out of its own budget.
// Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "cartsail/base/clock.h"
#include "cartsail/retries/bucket_counts.h"
#include "cartsail/retries/time_series.h"

namespace cartsail {

struct RetryBudgetOptions {
  double ratio = 0.2;             // repeats allowed per request
  double extra = 10;              // repeats allowed beside these in one window, over all nodes
  Duration window = seconds(10);  // at least a second
};

// For so long after the answer that lends it a repeat may be sent by the borrower.
Duration LoanValidity(const RetryBudgetOptions& options);

// After the lease on the extra has passed to a node, its former holder's repeats count for so long.
Duration ExtraHandoverDelay(const RetryBudgetOptions& options);

enum class RetrySource : uint8_t {
  kRequests,  // that came to this process
  kExtra,
  kLoan,  // of another node
};

std::string_view RetrySourceName(RetrySource source);

// The right to send one repeat. It counts as if it arrived at any moment until it is closed.
struct RetryGrant {
  RetrySource source = RetrySource::kRequests;
  TimePoint send_by = TimePoint::max();
};

// What one process may repeat of one service.
//
// A request pays for half of `ratio` repeats in each window that ends within two windows after it:
// half as a request of that window, half as one of the window before. The allowance goes by the
// window or by the one before, whichever has more, which is never less than half of each; and since
// this is a sum over requests, what all processes allow themselves adds up, whatever each of them
// knows of the others. A process that starts has no requests, and so no repeats.
class ServiceRetryBudget {
 public:
  explicit ServiceRetryBudget(RetryBudgetOptions options);

  // A request came for the service, within kMaxReadDelay of when its caller sent it.
  void NoteRequest(TimePoint received);

  // Takes one repeat; nothing when none is left. `extra_share`: the part of the extra that this
  // node may give out now.
  std::optional<RetryGrant> Take(TimePoint now, double extra_share);

  // Takes one for another node, which sends it within LoanValidity().
  bool Lend(TimePoint now, double extra_share);

  // Another node has lent one, which it was asked for at `asked`.
  RetryGrant TakeLoan(TimePoint asked);

  // The repeat has been sent, and reaches the back end by `arrives_by` at the latest.
  void Close(const RetryGrant& grant, TimePoint arrives_by);

  // The repeat will not be sent.
  void Cancel(const RetryGrant& grant);

  // Retries that could be taken now.
  double RemainingRequestBudget(TimePoint now) const;
  double RemainingExtraBudget(TimePoint now, double extra_share) const;

 private:
  // Retries that may arrive in a window.
  struct Retries {
    int64_t open = 0;    // they may arrive at any moment from now on
    TimeSeries arrived;  // the latest moment at which each of the others may have arrived
  };

  int64_t BucketAt(TimePoint time) const;
  void Forget(TimePoint now);
  Retries& RetriesOf(RetrySource source);

  RetryBudgetOptions options_;
  Duration bucket_width_;
  BucketCounts requests_;
  Retries request_retries_;  // and borrowed ones that arrive later than their lender counted on
  Retries extra_retries_;
  Retries borrowed_retries_;
};

}  // namespace cartsail
