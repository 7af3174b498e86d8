// Bounds the retries of a service over all nodes: in every window, at most `ratio` retries per
// request plus `extra` reach its backends. Nodes need no knowledge of each other for this: each
// retry is paid for by a request that this process received, by the share of `extra` that the
// holder of its lease grants, or by another node that takes it from its own budget. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "cartsail/base/clock.h"
#include "cartsail/retries/bucket_counts.h"
#include "cartsail/retries/time_series.h"

namespace cartsail {

struct RetryBudgetOptions {
  double ratio = 0.2;             // retries allowed per request
  double extra = 10;              // further retries allowed per window, over all nodes
  Duration window = seconds(10);  // at least 1 s
};

// Time after which the lender of a retry assumes that it has arrived. The borrower must send it
// within the same time, counted from when it asked.
Duration LoanValidity(const RetryBudgetOptions& options);

// How long the retries of the previous holder still count after the lease on the extra retries has
// passed to another node.
Duration ExtraHandoverDelay(const RetryBudgetOptions& options);

enum class RetrySource : uint8_t {
  kRequests,  // requests that this process received
  kExtra,     // the extra retries
  kLoan,      // the budget of another node
};

std::string_view RetrySourceName(RetrySource source);

// Permission to send one retry. Until it is closed or cancelled, it counts in every window, since
// the retry may arrive at any time.
struct RetryGrant {
  RetrySource source = RetrySource::kRequests;
  TimePoint send_by = TimePoint::max();  // only limited for loans
};

// The retries that one process may send for one service.
//
// Each request pays for `ratio` / 2 retries in every window that ends within two windows after it:
// one half as a request of that window, one half as a request of the window before. The overall
// bound follows the larger of the two windows, which is never less than half of both together. As
// the allowance is a sum over requests, the allowances of all processes add up to at most the bound
// without coordination. A process that has just started has no requests, and so no retries.
class ServiceRetryBudget {
 public:
  explicit ServiceRetryBudget(RetryBudgetOptions options);

  // A request for the service was received within kMaxReadDelay of when its client sent it.
  void NoteRequest(TimePoint received);

  // Takes one retry; nullopt if none is left. `extra_share`: the share of `extra`, from 0 to 1,
  // that this node may grant now.
  std::optional<RetryGrant> Take(TimePoint now, double extra_share);

  // Takes one retry for another node, which sends it within LoanValidity(). Returns false if none
  // is left.
  bool Lend(TimePoint now, double extra_share);

  // Returns the grant for a retry that another node has lent; it was requested at `asked`.
  RetryGrant TakeLoan(TimePoint asked);

  // The retry was sent and reaches the backend by `arrives_by` at the latest. A borrowed one that
  // may arrive after its `send_by` counts in this budget too.
  void Close(const RetryGrant& grant, TimePoint arrives_by);

  // The retry will not be sent.
  void Cancel(const RetryGrant& grant);

  // Retries that could be taken now; fractional, and negative if more are in use than allowed.
  double RemainingRequestBudget(TimePoint now) const;
  double RemainingExtraBudget(TimePoint now, double extra_share) const;

 private:
  // Retries that may arrive in a window.
  struct Retries {
    int64_t open = 0;    // not closed: may arrive at any time from now on
    TimeSeries arrived;  // latest possible arrival of each closed one
  };

  int64_t BucketAt(TimePoint time) const;
  void Forget(TimePoint now);
  Retries& RetriesOf(RetrySource source);

  RetryBudgetOptions options_;
  Duration bucket_width_;
  BucketCounts requests_;
  Retries request_retries_;  // including borrowed ones that arrive later than the lender assumes
  Retries extra_retries_;
  Retries borrowed_retries_;
};

}  // namespace cartsail
