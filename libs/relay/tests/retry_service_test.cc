// Nodes that borrow repeats from each other.
#include "retries/retry_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/fleet_partitions.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr char kService[] = "llm";
constexpr int kNodes = 4;

RetryBudgetOptions Options() {
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.extra = 5;
  options.window = seconds(1);
  return options;
}

struct TestNode {
  TestNode(asio::io_context& io, int number)
      : host(HostOf(number)),
        peers(StateOf(number), Now() - seconds(10)),
        retries(io, peers, Options()) {
    peers.SetLends(true);
  }

  std::string host;
  PeerTable peers;
  RetryService retries;
};

// Each node hears all others, which lend.
class Network {
 public:
  explicit Network(bool lends = true) {
    for (int i = 0; i < kNodes; ++i) nodes_.push_back(std::make_unique<TestNode>(io_, i));
    for (int i = 0; i < kNodes; ++i) {
      for (int j = 0; j < kNodes; ++j) {
        NodeState state = StateOf(j);
        state.lends = lends;
        if (i != j) nodes_[i]->peers.Heard(HostOf(j), state, Now());
      }
      Node(i).retries.SetTransport([this, i](const std::string& host, const Datagram& datagram) {
        ++messages_;
        asio::post(io_, [this, i, host, datagram] { Deliver(HostOf(i), host, datagram); });
      });
    }
  }

  TestNode& Node(int number) { return *nodes_[static_cast<size_t>(number)]; }

  // Its messages reach nobody, and none reach it.
  void CutOff(const std::string& host) { cut_off_ = host; }

  std::unique_ptr<RetryTicket> Take(int node) {
    std::unique_ptr<RetryTicket> ticket;
    bool done = false;
    const std::string service = kService;
    const auto take = [&]() -> asio::awaitable<void> {
      ticket = co_await Node(node).retries.Take(service);
      done = true;
    };
    asio::co_spawn(io_, take, asio::detached);
    io_.restart();
    while (!done && io_.run_one_for(seconds(5)) > 0) {
    }
    cr_assert(done);
    return ticket;
  }

  int Messages() const { return messages_; }

 private:
  void Deliver(const std::string& from, const std::string& to, const Datagram& sent) {
    if (from == cut_off_ || to == cut_off_) return;
    const std::optional<Datagram> read = DecodeDatagram(EncodeDatagram(sent));
    cr_assert(read.has_value());
    const Datagram& datagram = *read;
    for (const auto& node : nodes_) {
      if (node->host != to) continue;
      if (const auto* question = std::get_if<RepeatQuestion>(&datagram)) {
        node->retries.OnQuestion(from, *question);
      }
      if (const auto* answer = std::get_if<RepeatAnswer>(&datagram)) {
        node->retries.OnAnswer(from, *answer);
      }
    }
  }

  asio::io_context io_;
  std::vector<std::unique_ptr<TestNode>> nodes_;
  std::string cut_off_;
  int messages_ = 0;
};

void NoteRequests(TestNode& node, int count) {
  for (int i = 0; i < count; ++i) node.retries.NoteRequest(kService, Now());
}

Test(retry_service, a_node_whose_requests_pay_asks_nobody) {
  Network network;
  NoteRequests(network.Node(0), 20);
  const auto ticket = network.Take(0);
  cr_assert(ticket != nullptr && ticket->Grant().source == RetrySource::kRequests);
  cr_assert(network.Messages() == 0);
}

Test(retry_service, a_node_without_requests_borrows_what_others_have_and_no_more) {
  Network network;
  NoteRequests(network.Node(2), 20);
  const auto first = network.Take(0);
  const auto second = network.Take(0);
  cr_assert(first != nullptr && first->Lender() == HostOf(2));
  cr_assert(second != nullptr && second->MaySend(Now()));
  cr_assert(!second->MaySend(Now() + seconds(1)));
  cr_assert(network.Take(0) == nullptr, "half of 0.2 for each of 20");
  cr_assert(network.Take(2) == nullptr, "what is lent is spent");
}

Test(retry_service, those_that_had_none_are_not_asked_again_at_once) {
  Network network;
  cr_assert(network.Take(0) == nullptr);
  const int asked = network.Messages();
  cr_assert(asked == 2 * (kNodes - 1));
  for (int i = 0; i < 50; ++i) cr_assert(network.Take(0) == nullptr);
  cr_assert(network.Messages() == asked);
}

Test(retry_service, a_node_that_does_not_answer_does_not_hold_up_the_others_loans) {
  Network network;
  for (int i = 1; i < kNodes; ++i) NoteRequests(network.Node(i), 20);
  network.CutOff(HostOf(1));
  for (int i = 0; i < 4; ++i) {
    const auto ticket = network.Take(0);
    cr_assert(ticket != nullptr && ticket->Lender() != HostOf(1));
  }
}

Test(retry_service, nodes_of_a_build_that_lends_nothing_are_not_asked) {
  Network network(false);
  NoteRequests(network.Node(1), 20);
  cr_assert(network.Take(0) == nullptr);
  cr_assert(network.Messages() == 0);
}

Test(retry_service, the_holder_gives_the_extra_to_all_once_it_has_waited) {
  Network network;
  network.Node(3).retries.SetExtraLease([] { return std::optional<FencingToken>(7); });
  cr_assert(network.Take(3) == nullptr, "its predecessor's repeats still count");
  const TimePoint end = Now() + ExtraHandoverDelay(Options()) + milliseconds(300);
  while (Now() < end) std::this_thread::sleep_for(milliseconds(10));
  std::vector<std::unique_ptr<RetryTicket>> tickets;
  for (int i = 0; i < 8; ++i) tickets.push_back(network.Take(i % kNodes));
  int granted = 0;
  for (const auto& ticket : tickets) granted += ticket != nullptr ? 1 : 0;
  cr_assert(granted == static_cast<int>(Options().extra), "%d", granted);
}

}  // namespace
}  // namespace cartsail
