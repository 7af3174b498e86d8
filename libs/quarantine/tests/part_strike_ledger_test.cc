// Which prompt parts are held responsible for exits of back ends.
#include "cartsail/quarantine/part_strike_ledger.h"

#include <algorithm>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart{seconds(1000)};
constexpr ServiceKey kService = 7;
constexpr PartFingerprint kDeadly = 0xdead;  // greater than all harmless ones
constexpr PartFingerprint kShared = 0x1;
constexpr PartFingerprint kOther = 0x2;

PartStrikes Exit(BackendKey backend, TimePoint when, std::vector<PartFingerprint> parts) {
  std::sort(parts.begin(), parts.end());
  return {backend, when, {kService, std::move(parts)}};
}

// Exits 100 ms apart with these parts in flight.
void NoteExits(PartStrikeLedger* ledger, BackendKey first, int count,
               const std::vector<PartFingerprint>& parts) {
  for (int i = 0; i < count; ++i) {
    const BackendKey backend = first + static_cast<BackendKey>(i);
    (void)ledger->Note(Exit(backend, kStart + milliseconds(100 * backend), parts));
  }
}

std::vector<std::vector<PartFingerprint>> Groups(const PartStrikeLedger& ledger) {
  std::vector<std::vector<PartFingerprint>> groups;
  for (const SuspectedGroup& group : ledger.GroupsOf(kService)) groups.push_back(group.parts);
  return groups;
}

using PartLists = std::vector<std::vector<PartFingerprint>>;

Test(part_strike_ledger, the_third_exit_suffices) {
  PartStrikeLedger ledger;
  NoteExits(&ledger, 1, 2, {kDeadly});
  cr_assert(Groups(ledger).empty());
  NoteExits(&ledger, 3, 1, {kDeadly});
  const std::vector<SuspectedGroup> groups = ledger.GroupsOf(kService);
  cr_assert(groups.size() == 1);
  cr_assert(groups[0].parts == (std::vector<PartFingerprint>{kDeadly}));
  cr_assert(groups[0].backends == (std::vector<BackendKey>{1, 2, 3}));
  cr_assert(groups[0].first_strike == kStart + milliseconds(100));
  cr_assert(ledger.GroupsOf(kService + 1).empty(), "of another service");
}

Test(part_strike_ledger, a_repeated_report_counts_once) {
  PartStrikeLedger ledger;
  for (int i = 0; i < 5; ++i) NoteExits(&ledger, 1, 1, {kDeadly});
  cr_assert(Groups(ledger).empty());
}

// Guards against refusing a popular part when a rack is lost: it is in flight at all of its
// engines.
Test(part_strike_ledger, exits_at_one_moment_blame_no_part) {
  PartStrikeLedger ledger;
  for (BackendKey backend = 1; backend <= 20; ++backend) {
    (void)ledger.Note(Exit(backend, kStart + milliseconds(backend), {kShared}));
  }
  cr_assert(Groups(ledger).empty());
  (void)ledger.Note(Exit(21, kStart + milliseconds(500), {kShared}));
  cr_assert(Groups(ledger).size() == 1, "unless another one follows");
}

// Harmless requests with one of the parts go on, so that their completions can tell which it is.
Test(part_strike_ledger, parts_with_the_same_exits_are_suspected_together) {
  PartStrikeLedger ledger;
  NoteExits(&ledger, 1, 3, {kDeadly, kShared});
  cr_assert(Groups(ledger) == (PartLists{{kShared, kDeadly}}));
  ledger.NoteCompleted(kShared, kStart + seconds(1));
  cr_assert(Groups(ledger) == (PartLists{{kDeadly}}));
}

// Guards against refusing a harmless part that was also in flight at an exit with another cause.
Test(part_strike_ledger, two_more_exits_tell_them_apart) {
  PartStrikeLedger ledger;
  NoteExits(&ledger, 1, 3, {kDeadly, kShared});
  NoteExits(&ledger, 4, 1, {kShared});
  cr_assert(Groups(ledger) == (PartLists{{kShared, kDeadly}}), "the fourth may have another cause");
  NoteExits(&ledger, 5, 1, {kDeadly});
  cr_assert(Groups(ledger) == (PartLists{{kShared, kDeadly}}));
  NoteExits(&ledger, 6, 1, {kDeadly});
  cr_assert(Groups(ledger) == (PartLists{{kDeadly}}));
}

Test(part_strike_ledger, exits_that_a_part_explains_count_for_no_other) {
  PartStrikeLedger ledger;
  NoteExits(&ledger, 1, 4, {kDeadly, kShared});
  NoteExits(&ledger, 5, 1, {kDeadly});
  NoteExits(&ledger, 6, 2, {kShared});
  cr_assert(Groups(ledger) == (PartLists{{kShared}}) || Groups(ledger) == (PartLists{{kDeadly}}));
  NoteExits(&ledger, 8, 2, {kDeadly});
  cr_assert(Groups(ledger) == (PartLists{{kDeadly}}), "two exits are left for the other");
}

// Guards against blaming a part that all requests have for the exits of one deadly request.
Test(part_strike_ledger, exits_of_one_quarantined_request_blame_no_part) {
  PartStrikeLedger ledger;
  NoteExits(&ledger, 1, 4, {kShared});
  const std::vector<std::vector<BackendKey>> by_requests = {{1, 2, 3, 4}};
  cr_assert(ledger.GroupsOf(kService, by_requests).empty());
  NoteExits(&ledger, 5, 1, {kShared});
  cr_assert(ledger.GroupsOf(kService, by_requests).size() == 1, "at another exit too");
}

Test(part_strike_ledger, two_deadly_parts_are_both_suspected) {
  PartStrikeLedger ledger;
  NoteExits(&ledger, 1, 3, {kDeadly});
  NoteExits(&ledger, 4, 3, {kDeadly + 1});
  cr_assert(Groups(ledger).size() == 2);
}

Test(part_strike_ledger, completions_speak_against_strikes_until_shortly_after_them) {
  PartStrikeLedger ledger;
  ledger.NoteCompleted(kShared, kStart);
  (void)ledger.Note(Exit(1, kStart + kPartExonerationTime, {kShared}));
  cr_assert(!ledger.HasStrikes(kShared));
  (void)ledger.Note(Exit(2, kStart + kPartExonerationTime + milliseconds(1), {kShared}));
  cr_assert(ledger.HasStrikes(kShared));
  ledger.NoteCompleted(kShared, kStart);
  cr_assert(ledger.HasStrikes(kShared), "an earlier completion");
}

Test(part_strike_ledger, old_strikes_are_forgotten_and_its_size_is_bounded) {
  PartStrikeLedger ledger;
  for (PartFingerprint part = 0; part < 50000; ++part) {
    (void)ledger.Note(Exit(1, kStart + milliseconds(part), {part}));
  }
  cr_assert(ledger.Size() <= 10000, "%zu", ledger.Size());
  ledger.Expire(kStart + seconds(1260));
  cr_assert(ledger.Size() == 0);
}

// Exits by which a deadly part has to be known, and the time until then.
constexpr int kExitsUntilKnown = 5;
constexpr Duration kTimeUntilKnown = seconds(3);

struct SimulationOptions {
  uint32_t seed = 0;
  double deadly_per_s = 4;
  int deadly_parts = 1;
  int first_parts = 3;                       // one of which each request begins with
  Duration known_after = milliseconds(100);  // from a strike or completion until all nodes use it
  bool blames_parts = true;
  bool hears_completions = true;
};

struct SimulationResult {
  int exits = 0;
  int late_exits = 0;  // later than kTimeUntilKnown after the fifth for each deadly part
  int harmless = 0;
  int harmless_refused = 0;
  bool is_wrong_at_end = false;  // requests without a deadly part are quarantined
};

// Nine engines that are back 3 s after an exit. Harmless requests have one of three first parts and
// one of forty second ones; deadly requests share the first part and have a deadly second one.
class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options)
      : options_(options), random_(options.seed), back_(kEngines) {}

  SimulationResult Run() {
    constexpr Duration kStep = milliseconds(5);
    for (now_ = kStart; now_ < kStart + seconds(20); now_ += kStep) {
      DeliverMessages();
      EndRuns();
      if (Happens(kHarmlessPerSecond, kStep)) StartHarmless();
      const bool is_storm = now_ > kStart + seconds(2) && now_ < kStart + seconds(17);
      if (is_storm && Happens(options_.deadly_per_s, kStep)) StartDeadly();
    }
    result_.is_wrong_at_end = IsWrong();
    return result_;
  }

 private:
  static constexpr size_t kEngines = 9;
  static constexpr double kHarmlessPerSecond = 60;

  struct Running {
    size_t engine = 0;
    std::vector<PartFingerprint> parts;
    TimePoint until;
    bool is_deadly = false;
  };

  struct Message {
    TimePoint at;
    PartStrikes strikes;                     // unless `completed` is set
    std::vector<PartFingerprint> completed;  // at `when`
    TimePoint when;
  };

  bool Happens(double per_s, Duration step) {
    return std::uniform_real_distribution<>(0, 1)(random_) < per_s * ToSeconds(step);
  }

  double Uniform(double from, double to) {
    return std::uniform_real_distribution<>(from, to)(random_);
  }

  PartFingerprint FirstPart() {
    return 1 + random_() % static_cast<unsigned>(options_.first_parts);
  }

  void StartHarmless() {
    const double skewed = Uniform(0, 1);
    const auto first = FirstPart();
    const auto second = static_cast<PartFingerprint>(100 + 40 * skewed * skewed);
    ++result_.harmless;
    const bool is_sent = Start({first, second}, Uniform(0.2, 1.2), false);
    if (!is_sent) ++result_.harmless_refused;
  }

  void StartDeadly() {
    const auto first = FirstPart();
    const PartFingerprint which = random_() % static_cast<unsigned>(options_.deadly_parts);
    (void)Start({first, kDeadly + which}, Uniform(0.03, 0.3), true);
  }

  bool Start(const std::vector<PartFingerprint>& parts, double runs_s, bool is_deadly) {
    for (const SuspectedGroup& group : ledger_.GroupsOf(kService)) {
      if (options_.blames_parts && AreAmong(group.parts, parts)) return false;
    }
    std::vector<size_t> up;
    for (size_t i = 0; i < kEngines; ++i) {
      if (back_[i] <= now_) up.push_back(i);
    }
    if (up.empty()) return true;
    running_.push_back({up[random_() % up.size()], parts, now_ + FromSeconds(runs_s), is_deadly});
    return true;
  }

  void EndRuns() {
    for (size_t i = 0; i < running_.size();) {
      if (running_[i].until > now_) {
        ++i;
        continue;
      }
      const Running ended = running_[i];
      running_.erase(running_.begin() + static_cast<int64_t>(i));
      if (ended.is_deadly) {
        EndEngine(ended);
        i = 0;
      } else if (options_.hears_completions) {
        messages_.push_back({now_ + options_.known_after, {}, ended.parts, now_});
      }
    }
  }

  void EndEngine(const Running& by) {
    ++result_.exits;
    if (result_.exits == kExitsUntilKnown * options_.deadly_parts) known_ = now_ + kTimeUntilKnown;
    if (now_ > known_) ++result_.late_exits;
    back_[by.engine] = now_ + seconds(3);
    std::set<PartFingerprint> in_flight(by.parts.begin(), by.parts.end());
    std::erase_if(running_, [&](const Running& other) {
      if (other.engine != by.engine) return false;
      in_flight.insert(other.parts.begin(), other.parts.end());
      return true;
    });
    const std::vector<PartFingerprint> parts(in_flight.begin(), in_flight.end());
    messages_.push_back({now_ + options_.known_after, Exit(++exited_, now_, parts), {}, {}});
  }

  void DeliverMessages() {
    std::erase_if(messages_, [this](const Message& message) {
      if (message.at > now_) return false;
      for (const PartFingerprint part : message.completed) {
        ledger_.NoteCompleted(part, message.when);
      }
      if (message.completed.empty()) (void)ledger_.Note(message.strikes);
      return true;
    });
  }

  bool IsWrong() const {
    const auto is_harmless = [](const SuspectedGroup& group) {
      return group.parts.back() < kDeadly;
    };
    const std::vector<SuspectedGroup> groups = ledger_.GroupsOf(kService);
    return std::any_of(groups.begin(), groups.end(), is_harmless);
  }

  SimulationOptions options_;
  std::mt19937 random_;
  TimePoint now_;
  TimePoint known_ = TimePoint::max();  // when the deadly parts have to be known
  PartStrikeLedger ledger_;
  std::vector<TimePoint> back_;  // by engine: when it is up again
  std::vector<Running> running_;
  std::vector<Message> messages_;
  BackendKey exited_ = 0;
  SimulationResult result_;
};

struct SimulationSums {
  int max_late_exits = 0;
  double mean_exits = 0;
  double refused_share = 0;
  double max_refused_share = 0;
  int wrong_at_end = 0;
};

SimulationSums RunSeeds(SimulationOptions options) {
  constexpr uint32_t kSeeds = 60;
  SimulationSums sums;
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    const SimulationResult result = Simulation(options).Run();
    const double refused = static_cast<double>(result.harmless_refused) / result.harmless;
    sums.max_late_exits = std::max(sums.max_late_exits, result.late_exits);
    sums.mean_exits += static_cast<double>(result.exits) / kSeeds;
    sums.refused_share += refused / kSeeds;
    sums.max_refused_share = std::max(sums.max_refused_share, refused);
    sums.wrong_at_end += result.is_wrong_at_end ? 1 : 0;
  }
  return sums;
}

constexpr int kMaxLateExits = 3;
constexpr double kMaxRefusedShare = 0.01;

void CheckSeeds(const SimulationOptions& options) {
  // What was sent by then may cause some more exits.
  constexpr int kMaxMeanExits = kExitsUntilKnown + 3;
  const SimulationSums sums = RunSeeds(options);
  cr_expect(sums.max_late_exits <= kMaxLateExits * options.deadly_parts, "%.0f/s: %d late exits",
            options.deadly_per_s, sums.max_late_exits);
  cr_expect(sums.mean_exits <= kMaxMeanExits * options.deadly_parts, "%.0f/s: %.1f exits",
            options.deadly_per_s, sums.mean_exits);
  cr_expect(sums.refused_share <= kMaxRefusedShare, "%.0f/s: %.4f refused, %.4f at most",
            options.deadly_per_s, sums.refused_share, sums.max_refused_share);
  cr_expect(sums.wrong_at_end == 0, "%.0f/s: %d seeds", options.deadly_per_s, sums.wrong_at_end);
}

Test(part_strike_ledger, a_deadly_part_is_found_among_harmless_ones) {
  for (const double deadly_per_s : {4.0, 12.0}) CheckSeeds({.deadly_per_s = deadly_per_s});
}

// The first part is in flight at the exits of both.
Test(part_strike_ledger, two_deadly_parts_are_found_behind_one_that_all_requests_share) {
  CheckSeeds({.deadly_per_s = 8, .deadly_parts = 2, .first_parts = 1});
}

// Controls: the checks above must fail without the mechanisms that they are for.
Test(part_strike_ledger, without_blame_of_parts_engines_go_on_exiting) {
  const SimulationSums sums = RunSeeds({.deadly_per_s = 12, .blames_parts = false});
  cr_assert(sums.max_late_exits > kMaxLateExits, "%d", sums.max_late_exits);
}

Test(part_strike_ledger, without_completions_harmless_requests_are_refused) {
  const SimulationSums sums = RunSeeds(
      {.deadly_per_s = 8, .deadly_parts = 2, .first_parts = 1, .hears_completions = false});
  cr_assert(sums.refused_share > kMaxRefusedShare && sums.wrong_at_end > 0, "%.4f, %d seeds",
            sums.refused_share, sums.wrong_at_end);
}

}  // namespace
}  // namespace cartsail
