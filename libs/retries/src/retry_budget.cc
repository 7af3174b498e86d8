#include "cartsail/retries/retry_budget.h"

#include <algorithm>
#include <limits>

#include "cartsail/retries/stall_detector.h"

namespace cartsail {
namespace {

// Requests are counted in buckets. A bucket that is partly too old is not counted.
constexpr int64_t kBucketsPerWindow = 100;
constexpr int64_t kBucketsPerLoan = 3;
// Time from a grant until the retry has reached a backend and is closed. A grant is checked only
// against windows that end at most one window later than that.
constexpr int64_t kBucketsToArrive = 10;
constexpr int64_t kWindowsPerRequest = 2;  // windows whose retries one request pays for

Duration BucketWidth(const RetryBudgetOptions& options) {
  return options.window / kBucketsPerWindow;
}

}  // namespace

Duration LoanValidity(const RetryBudgetOptions& options) {
  return kBucketsPerLoan * BucketWidth(options);
}

Duration ExtraHandoverDelay(const RetryBudgetOptions& options) {
  return (kBucketsPerWindow + kBucketsToArrive + kBucketsPerLoan) * BucketWidth(options);
}

std::string_view RetrySourceName(RetrySource source) {
  switch (source) {
    case RetrySource::kRequests:
      return "requests";
    case RetrySource::kExtra:
      return "extra";
    case RetrySource::kLoan:
      return "loan";
  }
  return "";
}

ServiceRetryBudget::ServiceRetryBudget(RetryBudgetOptions options)
    : options_(options), bucket_width_(BucketWidth(options)) {}

int64_t ServiceRetryBudget::BucketAt(TimePoint time) const {
  return time.time_since_epoch() / bucket_width_;
}

ServiceRetryBudget::Retries& ServiceRetryBudget::RetriesOf(RetrySource source) {
  switch (source) {
    case RetrySource::kRequests:
      return request_retries_;
    case RetrySource::kExtra:
      return extra_retries_;
    case RetrySource::kLoan:
      return borrowed_retries_;
  }
  return request_retries_;
}

void ServiceRetryBudget::Forget(TimePoint now) {
  requests_.Forget(BucketAt(now) - kWindowsPerRequest * kBucketsPerWindow);
  for (Retries* retries : {&request_retries_, &extra_retries_}) {
    retries->arrived.Forget(now - options_.window);
  }
}

void ServiceRetryBudget::NoteRequest(TimePoint received) {
  Forget(received);
  requests_.Add(BucketAt(received));
}

// Minimum over all windows in which a retry granted now may arrive. Allowance and usage only fall
// from one window to a later one: for each bucket, the allowance is taken at its end and the usage
// at its start.
double ServiceRetryBudget::RemainingRequestBudget(TimePoint now) const {
  const int64_t first = BucketAt(now);
  const int64_t late = (kMaxReadDelay + bucket_width_ - Duration(1)) / bucket_width_;
  const int64_t open = request_retries_.open + borrowed_retries_.open;
  const double per_request = options_.ratio / kWindowsPerRequest;
  SuffixSumCursor requests(requests_);
  double least = std::numeric_limits<double>::max();
  for (int64_t bucket = first; bucket <= first + kBucketsPerWindow + kBucketsToArrive; ++bucket) {
    const int64_t oldest = bucket + 1 - kWindowsPerRequest * kBucketsPerWindow + late;
    const double allowed = per_request * static_cast<double>(requests.Since(oldest));
    const TimePoint end = std::max(now, TimePoint(bucket * bucket_width_));
    const int64_t used = open + request_retries_.arrived.After(end - options_.window);
    least = std::min(least, allowed - static_cast<double>(used));
  }
  return least;
}

double ServiceRetryBudget::RemainingExtraBudget(TimePoint now, double extra_share) const {
  const int64_t used = extra_retries_.open + extra_retries_.arrived.After(now - options_.window);
  return options_.extra * extra_share - static_cast<double>(used);
}

std::optional<RetryGrant> ServiceRetryBudget::Take(TimePoint now, double extra_share) {
  Forget(now);
  RetryGrant grant;
  if (RemainingRequestBudget(now) < 1) {
    if (RemainingExtraBudget(now, extra_share) < 1) return std::nullopt;
    grant.source = RetrySource::kExtra;
  }
  ++RetriesOf(grant.source).open;
  return grant;
}

bool ServiceRetryBudget::Lend(TimePoint now, double extra_share) {
  const std::optional<RetryGrant> grant = Take(now, extra_share);
  if (!grant.has_value()) return false;
  Close(*grant, now + LoanValidity(options_));
  return true;
}

RetryGrant ServiceRetryBudget::TakeLoan(TimePoint asked) {
  ++borrowed_retries_.open;
  return {RetrySource::kLoan, asked + LoanValidity(options_)};
}

void ServiceRetryBudget::Close(const RetryGrant& grant, TimePoint arrives_by) {
  --RetriesOf(grant.source).open;
  const bool is_counted_by_lender =
      grant.source == RetrySource::kLoan && arrives_by <= grant.send_by;
  if (is_counted_by_lender) return;
  Retries& retries = grant.source == RetrySource::kExtra ? extra_retries_ : request_retries_;
  retries.arrived.Add(arrives_by);
}

void ServiceRetryBudget::Cancel(const RetryGrant& grant) { --RetriesOf(grant.source).open; }

}  // namespace cartsail
