// Grants retries, that is, decides whether a request may be sent to one more back end. Retries come
// out of this node's own budget or are borrowed from another node, so that all nodes together stay
// within the fleet's budget. Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cartsail/base/timer.h"
#include "cartsail/duties/holder_lease.h"
#include "cartsail/retries/extra_budget_lease.h"
#include "cartsail/retries/retry_budget.h"
#include "cartsail/retries/stall_detector.h"
#include "fleet/datagram.h"
#include "fleet/peer_table.h"
#include "retries/retry_ticket.h"

namespace cartsail {

// Purpose by which nodes are ranked as candidates for the lease on the extra retries.
inline constexpr char kRetryExtraPurpose[] = "retry extra";

// Lasts longer than most outages of the store, since no node may grant extra retries without the
// lease. After a crash of the holder none are granted for as long.
inline constexpr LeaseTiming kRetryExtraLease{seconds(10), milliseconds(300)};

class RetryService {
 public:
  using Send = std::function<void(const std::string& host, const Datagram& datagram)>;
  // Returns the token of the lease on the extra retries; nullopt while this node does not hold it.
  using LeaseToken = std::function<std::optional<FencingToken>()>;

  RetryService(boost::asio::io_context& io, const PeerTable& peers, RetryBudgetOptions options);

  // Without a transport this node borrows nothing and answers no questions.
  void SetTransport(Send send) { send_ = std::move(send); }

  // Without a lease token this node never grants extra retries.
  void SetExtraLease(LeaseToken token) { extra_lease_ = std::move(token); }

  // Starts the periodic work, which runs until the process ends.
  void Start();

  // Counts a request that came at `received` towards the budget of `service`, unless this process
  // has just stalled.
  void NoteRequest(const std::string& service, TimePoint received);

  // Returns null when neither this node nor a node that it asked has a retry left. May wait up to
  // 80 ms for other nodes.
  boost::asio::awaitable<std::unique_ptr<RetryTicket>> Take(const std::string& service);

  void OnQuestion(const std::string& host, const RepeatQuestion& question);
  void OnAnswer(const std::string& host, const RepeatAnswer& answer);

  // Retries of the service that are left at this node, for the log.
  double RemainingRequestBudget(const std::string& service) {
    return BudgetOf(service)->RemainingRequestBudget(Now());
  }
  double RemainingExtraBudget(const std::string& service);

 private:
  // Counts for one service since its last log line.
  struct Tally {
    int64_t requests = 0;
    int64_t of_requests = 0;
    int64_t of_extra = 0;
    int64_t borrowed = 0;
    int64_t lent = 0;
    int64_t denied = 0;

    bool HasRetries() const { return of_requests + of_extra + borrowed + lent + denied > 0; }
  };

  // A question that awaits its answer.
  struct PendingQuestion {
    std::string host;
    Timer timer;               // cancelled by the answer
    std::optional<bool> lent;  // nullopt: no answer yet
  };

  struct Loan {
    std::string lender;
    RetryGrant grant;
  };

  boost::asio::awaitable<void> Run();
  std::shared_ptr<ServiceRetryBudget> BudgetOf(const std::string& service);
  void UpdateExtraRight(TimePoint now);
  // Share of the extra retries that this node may grant now; 0 without the lease.
  double ExtraShare(TimePoint now);
  boost::asio::awaitable<std::optional<Loan>> Borrow(const std::string& service);
  boost::asio::awaitable<std::optional<bool>> RequestLoan(const std::string& host,
                                                          const std::string& service);
  std::vector<std::string> Lenders(const std::string& service, TimePoint now);
  bool MayAsk(const std::string& service, const std::string& host, TimePoint now) const;
  void LogTallies(TimePoint now);

  boost::asio::io_context& io_;
  const PeerTable& peers_;
  RetryBudgetOptions options_;
  Send send_;
  LeaseToken extra_lease_;
  ExtraBudgetLease extra_right_;
  StallDetector stalls_;
  std::map<std::string, std::shared_ptr<ServiceRetryBudget>> budgets_;  // by service
  std::map<std::string, Tally> tallies_;                                // by service
  TimePoint tallies_logged_{};
  std::map<uint32_t, PendingQuestion*> pending_questions_;  // by question id
  // By service and host: when the host may be asked again.
  std::map<std::pair<std::string, std::string>, TimePoint> ask_again_at_;
  std::mt19937_64 random_;
  uint32_t next_question_;
};

}  // namespace cartsail
