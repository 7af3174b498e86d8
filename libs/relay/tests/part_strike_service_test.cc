// Who tells whom of prompt parts in flight at back ends that terminate, and what is quarantined.
// One node, whose messages the test carries.
#include "quarantine/part_strike_service.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>
#include <vector>

#include "quarantine/quarantine_recorder.h"
#include "quarantine/quarantine_service.h"
#include "support/lease_store.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr char kHost[] = "10.0.0.1";
constexpr Duration kConnectTimeout = milliseconds(50);
// Until all that is told several times was told.
constexpr Duration kTellingTime = milliseconds(1200);
// Until what is known was evaluated.
constexpr Duration kEvaluationTime = milliseconds(100);

const std::vector<PromptPart> kDeadlyPrompt = {{0xa, 500}, {0xdead, 300}, {0x99, 10}};
const std::vector<PromptPart> kHarmlessPrompt = {{0xa, 500}, {0xb, 300}, {0x98, 10}};

NodeState StateOf(const std::string& node) {
  NodeState state;
  state.node = node;
  state.zone = "z1";
  return state;
}

asio::awaitable<PathVerdict> FindEnded(Backend /*backend*/) { co_return PathVerdict::kEnded; }

SharedParts PartsOf(const std::vector<PromptPart>& prompt) { return SharedPartsOf("s", prompt); }

PartFingerprint PartOf(uint64_t id) { return PartsOf({{id, 1}, {1, 1}}).parts.front(); }

// No two requests are alike.
RequestTraits TraitsOf(const std::vector<PromptPart>& prompt) {
  static RequestFingerprint next = 1;
  return {next++, PartsOf(prompt)};
}

PartStrikes ExitOf(BackendKey backend, const std::vector<PromptPart>& prompt, TimePoint when) {
  return {backend, when, PartsOf(prompt)};
}

// A node that reaches five others.
struct Node {
  Node()
      : peers(StateOf("n1"), Now()),
        dispatcher(PlacementPolicy(), "z1"),
        pool(io.get_executor()),
        service(io, kHost, kConnectTimeout, dispatcher, peers, pool, FindEnded) {
    for (int i = 2; i <= 6; ++i) {
      const std::string number = std::to_string(i);
      peers.Heard("10.0.0." + number, StateOf("n" + number), Now());
    }
    for (int i = 0; i < 6; ++i) {
      Backend backend;
      backend.id = "b" + std::to_string(i);
      backend.service = "s";
      backend.address = "127.0.0.1:1";  // nobody listens there
      backend.zone = "z1";
      dispatcher.Registry().Put(backend);
    }
    QuarantineService::Transport transport;
    transport.broadcast_notice = [this](const QuarantineNotice& notice) {
      notices.push_back(notice);
    };
    transport.send_part_strikes = [this](const std::string& host, const PartStrikes& told) {
      strikes.emplace_back(host, told);
    };
    transport.send_part_completions = [this](const std::string& host, const PartCompletions& told) {
      completions.emplace_back(host, told);
    };
    transport.broadcast_part_inquiry = [this](const PartInquiry& told) {
      inquiries.push_back(told);
    };
    service.SetTransport(std::move(transport));
  }

  // The back end ends while it has a request with the prompt.
  void End(int backend, const std::vector<PromptPart>& prompt) {
    service.NoteBroken(TraitsOf(prompt), *dispatcher.Registry().Find("b" + std::to_string(backend)),
                       Now());
    RunFor(kConnectTimeout);
  }

  // Others have seen the exits of three back ends with the prompt in flight.
  void HearOfExits(const std::vector<PromptPart>& prompt, BackendKey first = 101) {
    for (BackendKey i = 0; i < 3; ++i) {
      const TimePoint when = Now() - milliseconds(100 * (3 - i));
      service.Parts().OnStrikes(ExitOf(first + i, prompt, when));
    }
    RunFor(kEvaluationTime);
  }

  void HearOfCompletion(uint64_t part, Duration age = Duration(0)) {
    service.Parts().OnCompletions({ServiceKeyOf("s"), {{PartOf(part), age}}}, Now());
  }

  void RunFor(Duration time) {
    io.restart();
    io.run_for(time);
  }

  bool IsKept(const std::vector<PromptPart>& prompt) {
    return service.LeftFor(TraitsOf(prompt), Now()).has_value();
  }

  asio::io_context io;
  PeerTable peers;
  Dispatcher dispatcher;
  UpstreamPool pool;
  std::vector<std::pair<std::string, PartStrikes>> strikes;          // by whom they were told to
  std::vector<std::pair<std::string, PartCompletions>> completions;  // the same
  std::vector<PartInquiry> inquiries;
  std::vector<QuarantineNotice> notices;
  QuarantineService service;
};

Test(part_strike_service, an_exit_is_told_to_the_nodes_that_count_until_it_can_hardly_be_lost) {
  Node node;
  node.End(0, kDeadlyPrompt);
  node.RunFor(kTellingTime);
  const std::vector<std::string> counters = StrikeLedgerNodesOf(
      ServiceKeyOf("s"), {kHost, "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6"});
  for (const std::string& host : counters) {
    const auto is_told = [&host](const auto& told) { return told.first == host; };
    const auto times = std::count_if(node.strikes.begin(), node.strikes.end(), is_told);
    cr_assert(times == (host == kHost ? 0 : 3), "%s: %ld", host.c_str(), times);
  }
  cr_assert(node.strikes.front().second.in_flight == PartsOf(kDeadlyPrompt));
  cr_assert(node.inquiries.size() == 1 && node.inquiries[0].parts.size() == 2);
}

Test(part_strike_service, parts_that_have_just_completed_get_no_strike) {
  Node node;
  node.service.NoteCompleted(TraitsOf(kHarmlessPrompt), Now());
  node.End(0, kDeadlyPrompt);
  cr_assert(!node.strikes.empty());
  const std::vector<PartFingerprint>& parts = node.strikes.front().second.in_flight.parts;
  cr_assert(parts == (std::vector<PartFingerprint>{PartOf(0xdead)}));
}

Test(part_strike_service, requests_that_differ_in_all_but_a_part_are_quarantined) {
  Node node;
  for (int i = 0; i < 3; ++i) {
    node.End(i, {{0xdead, 300}, {0xc0 + static_cast<uint64_t>(i), 10}, {0x99, 10}});
    node.RunFor(kEvaluationTime);
  }
  cr_assert(node.IsKept({{0xdead, 300}, {0xd0, 10}, {0x97, 10}}));
  cr_assert(!node.IsKept(kHarmlessPrompt));
  cr_assert(!node.IsKept({{0xb, 300}, {0xdead, 10}}), "as the last part it is another one");
  const auto has_parts = [](const QuarantineNotice& notice) {
    return notice.parts == std::vector<PartFingerprint>{PartOf(0xdead)};
  };
  cr_assert(std::any_of(node.notices.begin(), node.notices.end(), has_parts));
}

Test(part_strike_service, a_shared_part_is_refused_only_together_with_the_deadly_one) {
  Node node;
  node.HearOfExits(kDeadlyPrompt);
  cr_assert(node.IsKept(kDeadlyPrompt) && !node.IsKept(kHarmlessPrompt));
  cr_assert(!node.IsKept({{0xdead, 300}, {0x1, 10}}), "it may be either");
  node.HearOfCompletion(0xa);
  cr_assert(node.IsKept({{0xdead, 300}, {0x1, 10}}));
  cr_assert(node.IsKept(kDeadlyPrompt) && !node.IsKept(kHarmlessPrompt));
}

Test(part_strike_service, a_completion_before_the_exits_does_not_free_a_part) {
  Node node;
  node.HearOfExits({{0xdead, 300}, {0x1, 10}});
  node.HearOfCompletion(0xdead, seconds(5));
  cr_assert(node.IsKept(kDeadlyPrompt));
  node.HearOfCompletion(0xdead);
  cr_assert(!node.IsKept(kDeadlyPrompt));
}

Test(part_strike_service, a_node_tells_of_completions_that_it_was_asked_for) {
  Node node;
  node.service.NoteCompleted(TraitsOf({{0xa, 500}, {0x1, 10}}), Now());
  cr_assert(node.completions.empty(), "nobody has asked");
  node.service.Parts().OnInquiry({ServiceKeyOf("s"), seconds(1), {PartOf(0xa), PartOf(0xb)}, {}},
                                 Now());
  node.RunFor(milliseconds(1));
  cr_assert(!node.completions.empty());
  const auto tells = [&node](uint64_t part) {
    return std::any_of(node.completions.begin(), node.completions.end(), [part](const auto& told) {
      return told.second.parts.front().part == PartOf(part);
    });
  };
  cr_assert(tells(0xa) && !tells(0xb));
  node.service.NoteCompleted(TraitsOf(kHarmlessPrompt), Now());
  node.RunFor(milliseconds(1));
  cr_assert(tells(0xb));
}

// Guards against a quarantine that only the traffic which it prevents could end.
Test(part_strike_service, one_request_is_tried_after_some_time_at_the_first_of_the_counting_nodes) {
  Node node;
  node.HearOfExits({{0xdead, 300}, {0x1, 10}});
  const bool is_first = node.service.Parts().RankFor(ServiceKeyOf("s")) == 0;
  const RequestTraits traits = TraitsOf(kDeadlyPrompt);
  cr_assert(!node.service.TakeTrial(traits, Now()));
  cr_assert(node.service.TakeTrial(traits, Now() + seconds(3)) == is_first);
  cr_assert(!node.service.TakeTrial(traits, Now() + seconds(9)));
  cr_assert(node.service.TakeTrial(traits, Now() + seconds(12)) == is_first);
  cr_assert(!node.service.TakeTrial(traits, Now() + seconds(40)));
  node.service.NoteCompleted(traits, Now());
  cr_assert(!node.IsKept(kDeadlyPrompt));
}

Test(part_strike_service, a_request_with_another_suspected_part_is_not_tried) {
  Node node;
  node.HearOfExits({{0xdead, 300}, {0x1, 10}});
  node.service.Parts().OnStrikes(ExitOf(200, {{0xe, 10}, {0x1, 10}}, Now()));
  const RequestTraits traits = TraitsOf({{0xdead, 300}, {0xe, 10}, {0x1, 10}});
  (void)node.service.TakeTrial(traits, Now());
  cr_assert(!node.service.TakeTrial(traits, Now() + seconds(60)));
}

// Guards against a delayed word that ends the quarantine of a part which ends back ends again.
Test(part_strike_service, a_late_lift_does_not_end_what_later_exits_have_shown) {
  Node node;
  QuarantineNotice notice;
  notice.request = GroupFingerprintOf({PartOf(0xdead)});
  notice.left = seconds(600);
  notice.parts = {PartOf(0xdead)};
  notice.backends = {1, 2, 3, 4};
  node.service.OnNotice(notice, Now());
  QuarantineNotice lift;
  lift.request = notice.request;
  lift.is_lifted = true;
  lift.backends = {1, 2, 3};
  node.service.OnNotice(lift, Now());
  cr_assert(node.IsKept(kDeadlyPrompt));
  lift.backends = {1, 2, 3, 4};
  node.service.OnNotice(lift, Now());
  cr_assert(!node.IsKept(kDeadlyPrompt));
  node.service.OnNotice(notice, Now());
  cr_assert(!node.IsKept(kDeadlyPrompt), "it is known to be outdated");
  notice.backends = {1, 2, 3, 4, 5};
  node.service.OnNotice(notice, Now());
  cr_assert(node.IsKept(kDeadlyPrompt));
}

// A request that was sent again and again met the part at three back ends.
Test(part_strike_service, requests_quarantined_for_the_same_exits_are_freed) {
  Node node;
  constexpr RequestFingerprint kRequest = 0xab;
  for (const BackendKey backend : {101U, 102U, 103U}) {
    node.service.OnStrikes({{{kRequest, backend, Now() - milliseconds(100 * backend), {}}}});
  }
  cr_assert(node.service.LeftFor({kRequest, {}}, Now()).has_value());
  node.service.Parts().OnStrikes(ExitOf(104, kDeadlyPrompt, Now()));
  node.HearOfExits(kDeadlyPrompt);
  cr_assert(node.IsKept(kDeadlyPrompt));
  cr_assert(!node.service.LeftFor({kRequest, {}}, Now()).has_value());
}

// The request may be to blame all the same: one more exit shows it.
Test(part_strike_service, a_request_that_was_freed_so_returns_with_its_next_exit) {
  Node node;
  constexpr RequestFingerprint kRequest = 0xab;
  const auto strike = [&node](BackendKey backend) {
    node.service.OnStrikes({{{kRequest, backend, Now() - milliseconds(100 * backend), {}}}});
  };
  for (const BackendKey backend : {101U, 102U, 103U}) strike(backend);
  node.service.Parts().OnStrikes(ExitOf(104, kDeadlyPrompt, Now()));
  node.HearOfExits(kDeadlyPrompt);
  cr_assert(!node.service.LeftFor({kRequest, {}}, Now()).has_value());
  strike(105);
  cr_assert(node.service.LeftFor({kRequest, {}}, Now()).has_value());
}

// Guards against the erasure of its record, which other nodes take for an operator's word.
Test(part_strike_service, the_record_of_a_request_that_may_return_is_kept) {
  Node node;
  testing::LeaseStore store(node.io);
  const QuarantineRecorder recorder(node.io, store, "quarantine/", node.service);
  constexpr RequestFingerprint kRequest = 0xab;
  for (const BackendKey backend : {101U, 102U, 103U}) {
    node.service.OnStrikes({{{kRequest, backend, Now() - milliseconds(100 * backend), {}}}});
  }
  node.RunFor(seconds(2));
  const std::string key = "quarantine/" + FingerprintText(kRequest);
  cr_assert(store.Find(key) != nullptr);
  node.service.Parts().OnStrikes(ExitOf(104, kDeadlyPrompt, Now()));
  node.HearOfExits(kDeadlyPrompt);
  cr_assert(!node.service.LeftFor({kRequest, {}}, Now()).has_value());
  node.RunFor(seconds(1));
  cr_assert(store.Find(key) != nullptr);
}

// The node that had decided the first one may be gone.
Test(part_strike_service, a_group_whose_exits_another_one_explains_is_lifted) {
  Node node;
  QuarantineNotice notice;
  notice.request = GroupFingerprintOf({PartOf(0xa)});
  notice.left = seconds(600);
  notice.parts = {PartOf(0xa)};
  notice.backends = {101, 102, 103};
  node.service.OnNotice(notice, Now());
  cr_assert(node.IsKept(kHarmlessPrompt));
  node.service.Parts().OnStrikes(ExitOf(104, {{0xdead, 300}, {0x1, 10}}, Now()));
  node.HearOfExits({{0xdead, 300}, {0x1, 10}});
  cr_assert(!node.IsKept(kHarmlessPrompt) && node.IsKept(kDeadlyPrompt));
}

Test(part_strike_service, a_request_under_way_with_the_part_is_told) {
  Node node;
  int told = 0;
  int told_harmless = 0;
  (void)node.service.Watch(TraitsOf(kDeadlyPrompt), [&told] { ++told; });
  (void)node.service.Watch(TraitsOf(kHarmlessPrompt), [&] { ++told_harmless; });
  node.HearOfExits(kDeadlyPrompt);
  cr_assert(told == 1 && told_harmless == 0);
}

Test(part_strike_service, the_record_in_the_store_names_the_parts) {
  Node node;
  testing::LeaseStore store(node.io);
  const QuarantineRecorder recorder(node.io, store, "quarantine/", node.service);
  node.HearOfExits(kDeadlyPrompt);
  node.RunFor(seconds(3));
  const std::vector<PartFingerprint> parts = PartsOf(kDeadlyPrompt).parts;
  const std::string key = "quarantine/" + FingerprintText(GroupFingerprintOf(parts));
  cr_assert(store.Find(key) != nullptr);
  cr_assert(ParseParts(store.Find(key)->value) == parts);
  Node other;
  other.service.NoteRecorded(GroupFingerprintOf(parts), parts, Now());
  cr_assert(other.IsKept(kDeadlyPrompt) && !other.IsKept(kHarmlessPrompt));
}

// Nodes of an earlier build pass notices on without the parts, which they do not know.
Test(part_strike_service, parts_that_an_earlier_build_left_out_are_added) {
  Node node;
  QuarantineNotice notice;
  notice.request = GroupFingerprintOf({PartOf(0xdead)});
  notice.left = seconds(600);
  node.service.OnNotice(notice, Now());
  cr_assert(!node.IsKept(kDeadlyPrompt));
  notice.parts = {PartOf(0xdead)};
  node.service.OnNotice(notice, Now());
  cr_assert(node.IsKept(kDeadlyPrompt));
}

}  // namespace
}  // namespace cartsail
