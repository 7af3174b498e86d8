// Which requests are held responsible for backend exits, depending on the order of the strikes.
#include "cartsail/quarantine/strike_ledger.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart{seconds(1000)};
constexpr RequestFingerprint kDeadly = 0xdead;  // greater than all harmless ones
constexpr RequestFingerprint kHarmless = 0x1;

Test(strike_ledger, the_third_backend_makes_a_verdict) {
  StrikeLedger ledger;
  cr_assert(!ledger.Note({kDeadly, 1, kStart}).has_value());
  cr_assert(!ledger.Note({kDeadly, 2, kStart + seconds(1)}).has_value());
  const std::optional<Verdict> verdict = ledger.Note({kDeadly, 3, kStart + seconds(2)});
  cr_assert(verdict.has_value());
  cr_assert(verdict->request == kDeadly);
  cr_assert((verdict->backends == std::vector<BackendKey>{1, 2, 3}));
  cr_assert(verdict->first_strike == kStart);
}

Test(strike_ledger, a_repeated_strike_counts_once) {
  StrikeLedger ledger;
  for (int i = 0; i < 10; ++i) cr_assert(!ledger.Note({kDeadly, 1, kStart}).has_value());
  cr_assert(ledger.StrikesOf(kDeadly) == 1);
}

Test(strike_ledger, a_fourth_strike_makes_a_verdict_again) {
  StrikeLedger ledger;
  for (BackendKey backend = 1; backend <= 3; ++backend)
    (void)ledger.Note({kDeadly, backend, kStart});
  cr_assert(!ledger.Note({kDeadly, 3, kStart}).has_value());
  cr_assert(ledger.Note({kDeadly, 4, kStart + seconds(601)}).has_value());
}

// Guards against quarantining a harmless request that runs at several engines which exit together,
// for instance a poll sent by all clients: it was at four engines that exited within a millisecond.
Test(strike_ledger, a_verdict_tells_whether_all_backends_exited_together) {
  StrikeLedger ledger;
  for (BackendKey backend = 1; backend <= 3; ++backend) {
    (void)ledger.Note({kHarmless, backend, kStart + milliseconds(backend)});
  }
  cr_assert(ledger.VerdictOn(kHarmless)->is_simultaneous);
  // A strike reported late, as for an exit that is detected when the backend's entry is removed.
  const std::optional<Verdict> verdict = ledger.Note({kHarmless, 4, kStart - milliseconds(60)});
  cr_assert(!verdict->is_simultaneous);
  cr_assert(verdict->first_strike == kStart - milliseconds(60));
}

Test(strike_ledger, old_strikes_are_forgotten) {
  StrikeLedger ledger;
  (void)ledger.Note({kDeadly, 1, kStart});
  (void)ledger.Note({kDeadly, 2, kStart});
  ledger.Expire(kStart + seconds(1199));
  cr_assert(ledger.StrikesOf(kDeadly) == 2);
  ledger.Expire(kStart + seconds(1201));
  cr_assert(ledger.Size() == 0);
}

// All requests at a backend that a deadly request crashes get a strike, and their retries meet the
// deadly request again. Without the attribution they would be refused after their third engine.
Test(strike_ledger, exits_attributed_to_a_quarantined_request_count_against_no_other) {
  StrikeLedger ledger;
  ledger.AttributeExits({1, 2, 3}, kDeadly, kStart);
  for (const BackendKey backend : {1U, 2U}) (void)ledger.Note({kHarmless, backend, kStart});
  cr_assert(!ledger.Note({kHarmless, 4, kStart}).has_value());
  // Backends that exited for another reason still count.
  cr_assert(ledger.Note({kHarmless, 5, kStart}).has_value());
}

// Otherwise the request reported first would hide the other one, which would keep crashing engines.
Test(strike_ledger, two_requests_with_the_same_strikes_are_both_quarantined) {
  StrikeLedger ledger;
  for (const BackendKey backend : {1U, 2U}) (void)ledger.Note({kDeadly, backend, kStart});
  ledger.AttributeExits({1, 2, 3}, kHarmless, kStart);
  cr_assert(ledger.Note({kDeadly, 3, kStart}).has_value());
}

Test(strike_ledger, a_harmless_request_is_cleared) {
  StrikeLedger ledger;
  (void)ledger.Note({kHarmless, 1, kStart});
  (void)ledger.Note({kHarmless, 2, kStart});
  ledger.Clear(kHarmless);
  cr_assert(!ledger.Note({kHarmless, 3, kStart}).has_value());
}

Test(strike_ledger, its_size_is_bounded) {
  StrikeLedger ledger;
  (void)ledger.Note({kDeadly, 1, kStart});
  for (RequestFingerprint request = 0; request < 50000; ++request) {
    (void)ledger.Note({(request << 20) + 1, 7, kStart + milliseconds(1 + request)});
  }
  cr_assert(ledger.Size() <= 10000, "%zu", ledger.Size());
}

struct SimulationResult {
  int harmless_refused = 0;
  int max_exits = 0;  // caused by one deadly request
};

// Simulates deadly requests among harmless ones that run at the same engines, are retried and meet
// them again, in a fleet of nine engines with twenty requests at each.
SimulationResult Simulate(uint32_t seed, int deadly) {
  constexpr BackendKey kEngines = 9;
  constexpr int kHarmlessRequests = 180;
  std::mt19937 random(seed);
  StrikeLedger ledger;
  std::vector<BackendKey> engines(kHarmlessRequests);  // by request
  for (BackendKey& engine : engines) engine = random() % kEngines;
  std::set<RequestFingerprint> active;  // deadly requests that are not quarantined
  for (int i = 0; i < deadly; ++i) active.insert(kDeadly + static_cast<RequestFingerprint>(i));
  std::map<RequestFingerprint, int> exits;
  SimulationResult result;
  BackendKey exited = kEngines;  // a new key for each process that exits
  while (!active.empty()) {
    ++exited;
    const BackendKey engine = random() % kEngines;
    const auto which = static_cast<int64_t>(random() % active.size());
    const RequestFingerprint by = *std::next(active.begin(), which);
    result.max_exits = std::max(result.max_exits, ++exits[by]);
    std::vector<RequestFingerprint> running = {by};
    for (size_t i = 0; i < engines.size(); ++i) {
      if (engines[i] != engine) continue;
      running.push_back(i + 1);
      engines[i] = random() % kEngines;
    }
    std::shuffle(running.begin(), running.end(), random);
    for (const RequestFingerprint request : running) {
      const std::optional<Verdict> verdict = ledger.Note({request, exited, kStart});
      if (!verdict.has_value()) continue;
      ledger.AttributeExits(verdict->backends, request, kStart);
      active.erase(request);
      result.harmless_refused += request < kDeadly ? 1 : 0;
    }
  }
  return result;
}

// A harmless request that was at exactly the same engines cannot be distinguished from the deadly
// one. Over 1,000 seeds, of 180,000 harmless requests that never complete in between, 232 are
// refused with one deadly request, 1,645 with two, 8,013 with three.
Test(strike_ledger, harmless_requests_beside_deadly_ones_are_seldom_refused) {
  constexpr uint32_t kSeeds = 1000;
  constexpr std::array<int, 3> kMaxRefused = {300, 1800, 8500};
  constexpr std::array<int, 3> kMaxExits = {3, 4, 4};
  for (size_t i = 0; i < kMaxRefused.size(); ++i) {
    int refused = 0;
    int max_exits = 0;
    for (uint32_t seed = 0; seed < kSeeds; ++seed) {
      const SimulationResult result = Simulate(seed, static_cast<int>(i) + 1);
      refused += result.harmless_refused;
      max_exits = std::max(max_exits, result.max_exits);
    }
    cr_assert(refused <= kMaxRefused[i], "%d refused with %zu deadly", refused, i + 1);
    cr_assert(max_exits <= kMaxExits[i], "%d exits with %zu deadly", max_exits, i + 1);
  }
}

std::vector<std::string> Hosts(int count) {
  std::vector<std::string> hosts;
  for (int i = 0; i < count; ++i) hosts.push_back("10.0.0." + std::to_string(i));
  return hosts;
}

Test(strike_ledger, nodes_agree_on_replicas_whatever_the_order_of_hosts) {
  std::vector<std::string> hosts = Hosts(20);
  const std::vector<std::string> replicas = StrikeLedgerNodesOf(kDeadly, hosts);
  cr_assert(replicas.size() == kStrikeLedgerReplicas);
  std::reverse(hosts.begin(), hosts.end());
  cr_assert(StrikeLedgerNodesOf(kDeadly, hosts) == replicas);
  cr_assert(StrikeLedgerNodesOf(kDeadly, Hosts(2)).size() == 2);
}

// If a node leaves, at least two of the three nodes that keep the strikes of a request remain.
Test(strike_ledger, most_replicas_stay_when_a_node_leaves) {
  const std::vector<std::string> hosts = Hosts(20);
  for (RequestFingerprint request = 0; request < 100; ++request) {
    const std::vector<std::string> before = StrikeLedgerNodesOf(request, hosts);
    for (const std::string& gone : hosts) {
      std::vector<std::string> left = hosts;
      std::erase(left, gone);
      const std::vector<std::string> after = StrikeLedgerNodesOf(request, left);
      const auto stays = [&after](const std::string& host) {
        return std::find(after.begin(), after.end(), host) != after.end();
      };
      cr_assert(std::count_if(before.begin(), before.end(), stays) >= 2);
    }
  }
}

}  // namespace
}  // namespace cartsail
