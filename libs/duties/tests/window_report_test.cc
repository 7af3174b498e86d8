// All interleavings of two holders that report one window with different counts: answers are lost,
// calls are carried out later, a holder goes on after it was replaced, or crashes at any step. The
// platform never accepts two different reports, whether it looks at fencing tokens or not.
#include "cartsail/duties/window_report.h"

#include <array>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr size_t kHolders = 2;
constexpr size_t kMostLate = 2;  // calls that are still to be carried out, of each kind

using Step = WindowReport::Step;

TenantCounts CountsOf(size_t holder) { return {{"tenant", static_cast<int64_t>(holder) + 1}}; }

struct LateRecord {
  size_t holder = 0;
  TenantCounts counts;
};

struct LateSend {
  size_t holder = 0;
  TenantCounts counts;
};

// The world as one state; holder 0 has the duty first, holder 1 takes it over.
struct World {
  std::array<std::optional<WindowReport>, kHolders> reports;
  size_t owner = 0;                      // of the duty's record in the store
  std::optional<TenantCounts> recorded;  // in the store
  std::vector<LateRecord> late_records;
  std::vector<LateSend> late_sends;
  std::optional<size_t> greatest_token;  // that the platform has seen
  std::set<TenantCounts> accepted;

  std::string Key() const {
    std::string key = std::to_string(owner);
    const auto add = [&key](const TenantCounts& counts) {
      for (const auto& [tenant, count] : counts) key += "," + std::to_string(count);
      key += ";";
    };
    for (const auto& report : reports) {
      key += report.has_value() ? std::to_string(static_cast<int>(report->Next())) : "-";
      if (report.has_value()) add(report->Counts());
    }
    key += "r";
    if (recorded.has_value()) add(*recorded);
    for (const LateRecord& late : late_records) {
      key += "w" + std::to_string(late.holder);
      add(late.counts);
    }
    for (const LateSend& late : late_sends) {
      key += "s" + std::to_string(late.holder);
      add(late.counts);
    }
    key += "t" + (greatest_token.has_value() ? std::to_string(*greatest_token) : "");
    for (const TenantCounts& counts : accepted) add(counts);
    return key;
  }
};

class Explorer {
 public:
  Explorer(bool checks_tokens, bool records) : checks_tokens_(checks_tokens) {
    World world;
    world.reports[0].emplace(CountsOf(0), !records);
    records_ = records;
    Visit(world);
  }

  bool FoundTwoReports() const { return found_; }
  size_t States() const { return seen_.size(); }
  bool WasAccepted() const { return accepted_; }

 private:
  bool WriteRecord(World* world, size_t holder, const TenantCounts& counts) const {
    if (world->owner != holder || world->recorded.has_value()) return false;
    world->recorded = counts;
    return true;
  }

  // False when the platform refuses the token.
  bool Accept(World* world, size_t holder, const TenantCounts& counts) const {
    if (checks_tokens_ && world->greatest_token.value_or(0) > holder) return false;
    world->greatest_token = std::max(world->greatest_token.value_or(0), holder);
    world->accepted.insert(counts);
    return true;
  }

  void Visit(const World& world) {
    if (world.accepted.size() > 1) found_ = true;
    if (!world.accepted.empty()) accepted_ = true;
    if (found_ || !seen_.insert(world.Key()).second) return;
    TakeOver(world);
    for (size_t holder = 0; holder < kHolders; ++holder) {
      if (!world.reports[holder].has_value()) continue;
      Act(world, holder);
      World crashed = world;
      crashed.reports[holder].reset();
      Visit(crashed);
    }
    CarryOutLate(world);
  }

  // The second holder reads what is recorded and sends it, or records its own counts.
  void TakeOver(const World& world) {
    if (world.owner == 1) return;
    World next = world;
    next.owner = 1;
    if (next.recorded.has_value() && records_) {
      next.reports[1].emplace(*next.recorded, true);
    } else {
      next.reports[1].emplace(CountsOf(1), !records_);
    }
    Visit(next);
  }

  void Act(const World& world, size_t holder) {
    switch (world.reports[holder]->Next()) {
      case Step::kRecord:
        return ActRecord(world, holder);
      case Step::kRead:
        return ActRead(world, holder);
      case Step::kSend:
        return ActSend(world, holder);
      case Step::kDone:
      case Step::kLost:
        return;
    }
  }

  void ActRecord(const World& world, size_t holder) {
    const TenantCounts counts = world.reports[holder]->Counts();
    World answered = world;
    const bool written = WriteRecord(&answered, holder, counts);
    World unanswered = answered;
    answered.reports[holder]->OnRecorded(written ? RecordOutcome::kWritten
                                                 : RecordOutcome::kConditionFailed);
    Visit(answered);
    unanswered.reports[holder]->OnRecorded(RecordOutcome::kUnknown);
    Visit(unanswered);
    World not_done = world;
    not_done.reports[holder]->OnRecorded(RecordOutcome::kUnknown);
    Visit(not_done);
    if (world.late_records.size() >= kMostLate) return;
    World later = not_done;
    later.late_records.push_back({holder, counts});
    Visit(later);
  }

  void ActRead(const World& world, size_t holder) {
    World next = world;
    next.reports[holder]->OnRead(world.recorded, world.owner == holder);
    Visit(next);
  }

  void ActSend(const World& world, size_t holder) {
    const TenantCounts counts = world.reports[holder]->Counts();
    World answered = world;
    const bool accepted = Accept(&answered, holder, counts);
    World unanswered = answered;
    answered.reports[holder]->OnSent(accepted ? SendOutcome::kAccepted : SendOutcome::kFenced);
    Visit(answered);
    unanswered.reports[holder]->OnSent(SendOutcome::kUnknown);
    Visit(unanswered);
    if (world.late_sends.size() >= kMostLate) return;
    World later = world;
    later.reports[holder]->OnSent(SendOutcome::kUnknown);
    later.late_sends.push_back({holder, counts});
    Visit(later);
  }

  void CarryOutLate(const World& world) {
    for (size_t i = 0; i < world.late_records.size(); ++i) {
      World next = world;
      const LateRecord late = next.late_records[i];
      next.late_records.erase(next.late_records.begin() + static_cast<int64_t>(i));
      WriteRecord(&next, late.holder, late.counts);
      Visit(next);
    }
    for (size_t i = 0; i < world.late_sends.size(); ++i) {
      World next = world;
      const LateSend late = next.late_sends[i];
      next.late_sends.erase(next.late_sends.begin() + static_cast<int64_t>(i));
      Accept(&next, late.holder, late.counts);
      Visit(next);
    }
  }

  bool checks_tokens_;
  bool records_ = true;
  bool found_ = false;
  bool accepted_ = false;
  std::set<std::string> seen_;
};

Test(window_report, no_interleaving_of_two_holders_reports_a_window_with_two_counts) {
  for (const bool checks_tokens : {true, false}) {
    const Explorer explorer(checks_tokens, true);
    cr_assert(!explorer.FoundTwoReports());
    cr_assert(explorer.WasAccepted());
    cr_assert(explorer.States() > 500, "%zu states", explorer.States());
  }
}

// What the exploration would find if counts were sent without being recorded first.
Test(window_report, without_the_record_two_counts_are_reported) {
  for (const bool checks_tokens : {true, false}) {
    cr_assert(Explorer(checks_tokens, false).FoundTwoReports());
  }
}

Test(window_report, after_a_lost_answer_what_is_recorded_is_sent) {
  WindowReport report(CountsOf(0), false);
  report.OnRecorded(RecordOutcome::kUnknown);
  cr_assert(report.Next() == Step::kRead);
  report.OnRead(CountsOf(1), true);
  cr_assert(report.Next() == Step::kSend);
  cr_assert(report.Counts() == CountsOf(1));
  report.OnSent(SendOutcome::kUnknown);
  cr_assert(report.Next() == Step::kSend);
  report.OnSent(SendOutcome::kAccepted);
  cr_assert(report.Next() == Step::kDone);
}

}  // namespace
}  // namespace cartsail
