// How nodes take, keep, hand over and lose a duty, with the store as the judge.
#include "duties/duty_holder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "support/lease_store.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr char kKey[] = "duty/test";
constexpr LeaseTiming kTerms{seconds(3), milliseconds(300)};

struct Nodes {
  explicit Nodes(size_t count, bool first_start = true) : store(io) {
    for (size_t i = 0; i < count; ++i) {
      holders.push_back(
          std::make_unique<DutyHolder>(io, store, kKey, kTerms,
                                       DutyHolder::Candidacy{"n" + std::to_string(i), first_start,
                                                             [this, i]() -> std::optional<size_t> {
                                                               if (outranked == i)
                                                                 return std::nullopt;
                                                               return i;
                                                             }}));
      holders.back()->Start();
    }
  }

  // Until `done`, `limit` at most.
  bool RunUntil(const std::function<bool()>& done, Duration limit) {
    const TimePoint end = Now() + limit;
    while (!done() && Now() < end) {
      const TimePoint begun = Now();
      io.restart();
      io.run_for(milliseconds(10));
      longest_step = std::max(longest_step, Now() - begun);
    }
    return done();
  }

  bool MayAct(size_t node) const { return holders[node]->MayAct().has_value(); }

  asio::io_context io;
  testing::LeaseStore store;
  std::vector<std::unique_ptr<DutyHolder>> holders;
  std::optional<size_t> outranked;  // a node that is no candidate any more
  Duration longest_step{};          // the machine may hold this process up
};

Test(duty_holder, the_first_candidate_takes_the_duty_and_keeps_it) {
  Nodes nodes(2);
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(0); }, seconds(10)));
  const FencingToken token = *nodes.holders[0]->MayAct();
  cr_assert(nodes.store.Find(kKey)->mod_revision == token);
  nodes.RunUntil([] { return false; }, kTerms.lease + seconds(1));
  // A process that was held up for most of its lease has to take the duty anew.
  const bool held_up = nodes.longest_step > kTerms.lease / 2;
  cr_assert(nodes.holders[0]->MayAct() == token || held_up);
  cr_assert(!(nodes.MayAct(0) && nodes.MayAct(1)));
  cr_assert(!nodes.MayAct(1) || held_up);
}

Test(duty_holder, a_holder_that_stops_hands_over_with_a_greater_token) {
  Nodes nodes(2);
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(0); }, seconds(10)));
  const FencingToken token = *nodes.holders[0]->MayAct();
  asio::co_spawn(nodes.io, nodes.holders[0]->Stop(), asio::detached);
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(1); }, seconds(10)));
  cr_assert(!nodes.MayAct(0));
  cr_assert(*nodes.holders[1]->MayAct() > token);
}

Test(duty_holder, an_answer_lost_after_the_write_is_found_out) {
  Nodes nodes(1);
  nodes.store.LoseAnswers(1);
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(0); }, seconds(10)));
  cr_assert(nodes.store.Find(kKey)->mod_revision == *nodes.holders[0]->MayAct());
}

Test(duty_holder, a_holder_that_the_store_does_not_answer_stops_to_act_in_time) {
  Nodes nodes(1);
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(0); }, seconds(10)));
  nodes.store.SetAway(true);
  cr_assert(nodes.RunUntil([&] { return !nodes.MayAct(0); }, kTerms.lease));
}

Test(duty_holder, a_lease_that_is_gone_in_the_store_ends_the_duty) {
  Nodes nodes(1);
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(0); }, seconds(10)));
  const FencingToken token = *nodes.holders[0]->MayAct();
  nodes.store.Expire(nodes.store.Find(kKey)->lease);
  const auto has_another = [&] { return nodes.MayAct(0) && *nodes.holders[0]->MayAct() != token; };
  cr_assert(nodes.RunUntil(has_another, seconds(12)));
}

// Others have stopped to tell it what it has to know.
Test(duty_holder, a_holder_that_is_no_candidate_any_more_hands_over_soon) {
  Nodes nodes(2);
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(0); }, seconds(10)));
  nodes.outranked = 0;
  cr_assert(nodes.RunUntil([&] { return !nodes.MayAct(0); }, seconds(3)));
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(1); }, seconds(10)));
}

Test(duty_holder, a_process_started_later_waits_a_lease_before_it_acts) {
  const TimePoint started = Now();
  Nodes nodes(1, false);
  cr_assert(nodes.RunUntil([&] { return nodes.MayAct(0); }, seconds(10)));
  cr_assert(Now() - started >= kTerms.lease);
}

}  // namespace
}  // namespace cartsail
