#include "retries/retry_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "duties/duty_holder.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// A caller waits for one lender after the other; a node in another zone answers within a few
// milliseconds.
constexpr size_t kMaxLendersAsked = 4;
constexpr Duration kLoanTimeout = milliseconds(20);
// While back ends refuse most requests, lenders without retries are not asked for each of these.
constexpr Duration kRefusalBackoff = milliseconds(250);
constexpr Duration kTimeoutBackoff = seconds(1);

}  // namespace

RetryService::RetryService(asio::io_context& io, const PeerTable& peers, RetryBudgetOptions options)
    : io_(io),
      peers_(peers),
      options_(options),
      extra_right_(options),
      tallies_logged_(Now()),
      random_(std::random_device{}()),
      next_question_(static_cast<uint32_t>(random_())) {
  stalls_.Beat(Now());
}

void RetryService::Start() { asio::co_spawn(io_, Run(), asio::detached); }

asio::awaitable<void> RetryService::Run() {
  Timer timer(io_);
  while (true) {
    const TimePoint now = Now();
    stalls_.Beat(now);
    UpdateExtraRight(now);
    if (now - tallies_logged_ >= options_.window) LogTallies(now);
    std::erase_if(ask_again_at_, [now](const auto& entry) { return now >= entry.second; });
    timer.expires_after(StallDetector::kInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

std::shared_ptr<ServiceRetryBudget> RetryService::BudgetOf(const std::string& service) {
  std::shared_ptr<ServiceRetryBudget>& budget = budgets_[service];
  if (budget == nullptr) budget = std::make_shared<ServiceRetryBudget>(options_);
  return budget;
}

void RetryService::UpdateExtraRight(TimePoint now) {
  extra_right_.Note(extra_lease_ ? extra_lease_() : std::nullopt, now);
  GlobalCounters().retry_extra_held.Set(extra_right_.Holds(now) ? 1 : 0);
}

double RetryService::ExtraShare(TimePoint now) {
  // The lease may have expired since the last update.
  UpdateExtraRight(now);
  return extra_right_.Holds(now) ? peers_.LendingShare() : 0;
}

double RetryService::RemainingExtraBudget(const std::string& service) {
  const TimePoint now = Now();
  return BudgetOf(service)->RemainingExtraBudget(now, ExtraShare(now));
}

void RetryService::NoteRequest(const std::string& service, TimePoint received) {
  ++tallies_[service].requests;
  if (stalls_.IsFresh(Now())) BudgetOf(service)->NoteRequest(received);
}

asio::awaitable<std::unique_ptr<RetryTicket>> RetryService::Take(const std::string& service) {
  const std::shared_ptr<ServiceRetryBudget> budget = BudgetOf(service);
  Tally& tally = tallies_[service];
  const TimePoint now = Now();
  const std::optional<RetryGrant> own = budget->Take(now, ExtraShare(now));
  if (own.has_value()) {
    ++(own->source == RetrySource::kExtra ? tally.of_extra : tally.of_requests);
    co_return std::make_unique<RetryTicket>(budget, *own, "");
  }
  std::optional<Loan> loan;
  if (send_) loan = co_await Borrow(service);
  if (!loan.has_value()) {
    ++tally.denied;
    co_return nullptr;
  }
  ++tally.borrowed;
  GlobalCounters().retries_borrowed_total.Add();
  co_return std::make_unique<RetryTicket>(budget, loan->grant, loan->lender);
}

asio::awaitable<std::optional<RetryService::Loan>> RetryService::Borrow(
    const std::string& service) {
  const std::vector<std::string> lenders = Lenders(service, Now());
  for (const std::string& host : lenders) {
    if (!MayAsk(service, host, Now())) continue;
    const TimePoint asked = Now();
    const std::optional<bool> lent = co_await RequestLoan(host, service);
    if (lent.value_or(false)) co_return Loan{host, BudgetOf(service)->TakeLoan(asked)};
    ask_again_at_[{service, host}] = Now() + (lent.has_value() ? kRefusalBackoff : kTimeoutBackoff);
  }
  co_return std::nullopt;
}

bool RetryService::MayAsk(const std::string& service, const std::string& host,
                          TimePoint now) const {
  const auto refused = ask_again_at_.find({service, host});
  return refused == ask_again_at_.end() || now >= refused->second;
}

// Candidates for the lease on the extra retries come first, by rank, since its holder is not known
// without asking; the others follow in random order.
std::vector<std::string> RetryService::Lenders(const std::string& service, TimePoint now) {
  std::vector<std::string> lenders = peers_.RankLenders(kRetryExtraPurpose, kDutyCandidates, now);
  std::erase(lenders, "");  // this node
  std::vector<std::string> others;
  for (const auto& [host, peer] : peers_.Peers()) {
    const bool is_listed = std::find(lenders.begin(), lenders.end(), host) != lenders.end();
    if (PeerTable::IsLender(peer) && !is_listed) others.push_back(host);
  }
  std::shuffle(others.begin(), others.end(), random_);
  lenders.insert(lenders.end(), others.begin(), others.end());
  std::erase_if(lenders, [&](const std::string& host) { return !MayAsk(service, host, now); });
  if (lenders.size() > kMaxLendersAsked) lenders.resize(kMaxLendersAsked);
  return lenders;
}

asio::awaitable<std::optional<bool>> RetryService::RequestLoan(const std::string& host,
                                                               const std::string& service) {
  const uint32_t id = next_question_++;
  PendingQuestion pending{host, Timer(io_), std::nullopt};
  pending_questions_[id] = &pending;
  const Datagram question = RepeatQuestion{id, service};
  send_(host, question);
  pending.timer.expires_after(kLoanTimeout);
  boost::system::error_code ignored;
  co_await pending.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  pending_questions_.erase(id);
  co_return pending.lent;
}

void RetryService::OnQuestion(const std::string& host, const RepeatQuestion& question) {
  const TimePoint now = Now();
  const bool lent = BudgetOf(question.service)->Lend(now, ExtraShare(now));
  if (lent) {
    ++tallies_[question.service].lent;
    GlobalCounters().retries_lent_total.Add();
  }
  if (send_) send_(host, RepeatAnswer{question.id, lent});
}

void RetryService::OnAnswer(const std::string& host, const RepeatAnswer& answer) {
  const auto pending = pending_questions_.find(answer.id);
  if (pending == pending_questions_.end() || pending->second->host != host) return;
  pending->second->lent = answer.lent;
  pending->second->timer.cancel();
}

void RetryService::LogTallies(TimePoint now) {
  tallies_logged_ = now;
  for (auto& [service, tally] : tallies_) {
    if (tally.HasRetries()) {
      Log(LogLevel::kInfo, "retry_budget",
          {{"service", service},
           {"requests", std::to_string(tally.requests)},
           {"of_requests", std::to_string(tally.of_requests)},
           {"of_extra", std::to_string(tally.of_extra)},
           {"borrowed", std::to_string(tally.borrowed)},
           {"lent", std::to_string(tally.lent)},
           {"denied", std::to_string(tally.denied)},
           {"left", fmt::format("{:.1f}", BudgetOf(service)->RemainingRequestBudget(now))},
           {"extra_part", fmt::format("{:.2f}", ExtraShare(now))},
           {"live", std::to_string(peers_.LiveCount() + 1)}});
    }
    tally = {};
  }
}

}  // namespace cartsail
