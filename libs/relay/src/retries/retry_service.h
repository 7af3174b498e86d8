// Decides whether a request may be sent to one more back end, within the budget of all nodes
// together: out of this node's own budget, or borrowed from another node. One thread.
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
#include "cartsail/retries/extra_right.h"
#include "cartsail/retries/retry_budget.h"
#include "cartsail/retries/stall_watch.h"
#include "fleet/datagram.h"
#include "fleet/peer_table.h"
#include "retries/retry_ticket.h"

namespace cartsail {

// Ranks the nodes that may hold the lease on the extra.
inline constexpr char kRetryExtraPurpose[] = "retry extra";

// Outlasts most silences of the store, since nobody may give the extra out without the lease; a
// crash of its holder costs as much.
inline constexpr LeaseTerms kRetryExtraLease{seconds(10), milliseconds(300)};

class RetryService {
 public:
  using Send = std::function<void(const std::string& host, const Datagram& datagram)>;
  // Of the lease on the extra, while this node holds it.
  using LeaseToken = std::function<std::optional<FencingToken>()>;

  RetryService(boost::asio::io_context& io, const PeerTable& peers, RetryBudgetOptions options);

  // Without one this node borrows nothing.
  void SetTransport(Send send) { send_ = std::move(send); }

  // Without one this node never gives out the extra.
  void SetExtraLease(LeaseToken token) { extra_lease_ = std::move(token); }

  // Runs until the process ends.
  void Start();

  void NoteRequest(const std::string& service, TimePoint received);

  // Nothing when neither this node nor one that it asked has a repeat left. May wait some
  // milliseconds for others.
  boost::asio::awaitable<std::unique_ptr<RetryTicket>> Take(const std::string& service);

  void OnQuestion(const std::string& host, const RepeatQuestion& question);
  void OnAnswer(const std::string& host, const RepeatAnswer& answer);

  // What is left of the service's budget at this node, for the log.
  double LeftOfRequests(const std::string& service) {
    return BudgetOf(service)->LeftOfRequests(Now());
  }
  double LeftOfExtra(const std::string& service);

 private:
  // What became of one service's repeats since the last line on them.
  struct Tally {
    int64_t requests = 0;
    int64_t of_requests = 0;
    int64_t of_extra = 0;
    int64_t borrowed = 0;
    int64_t lent = 0;
    int64_t denied = 0;

    bool IsWorthALine() const { return of_requests + of_extra + borrowed + lent + denied > 0; }
  };

  // A question under way.
  struct Waiting {
    std::string host;
    Timer timer;  // cancelled by the answer
    std::optional<bool> lent;
  };

  struct Loan {
    std::string lender;
    RepeatGrant grant;
  };

  boost::asio::awaitable<void> Run();
  std::shared_ptr<ServiceRetryBudget> BudgetOf(const std::string& service);
  void FollowLease(TimePoint now);
  // Of the extra, what this node may give out now.
  double ExtraPart(TimePoint now);
  boost::asio::awaitable<std::optional<Loan>> Borrow(const std::string& service);
  boost::asio::awaitable<std::optional<bool>> Ask(const std::string& host,
                                                  const std::string& service);
  std::vector<std::string> Lenders(const std::string& service, TimePoint now);
  bool MayAsk(const std::string& service, const std::string& host, TimePoint now) const;
  void LogTallies(TimePoint now);

  boost::asio::io_context& io_;
  const PeerTable& peers_;
  RetryBudgetOptions options_;
  Send send_;
  LeaseToken extra_lease_;
  ExtraRight extra_right_;
  StallWatch stalls_;
  std::map<std::string, std::shared_ptr<ServiceRetryBudget>> budgets_;  // by service
  std::map<std::string, Tally> tallies_;                                // by service
  TimePoint tallies_logged_{};
  std::map<uint32_t, Waiting*> waiting_;  // by question
  // Service and host: not to be asked again until then.
  std::map<std::pair<std::string, std::string>, TimePoint> refused_until_;
  std::mt19937_64 random_;
  uint32_t next_question_;
};

}  // namespace cartsail
