// Explores all interleavings of two holders that report one window with different counts: answers
// are lost, calls are carried out late, and a holder continues after it was replaced or crashes at
// any step. The platform must never accept two different reports, whether or not it checks fencing
// tokens.
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
constexpr size_t kMaxDelayed = 2;  // limit of delayed calls of each kind

using Step = WindowReport::Step;

TenantCounts CountsOf(size_t holder) { return {{"tenant", static_cast<int64_t>(holder) + 1}}; }

struct DelayedRecord {
  size_t holder = 0;
  TenantCounts counts;
};

struct DelayedSend {
  size_t holder = 0;
  TenantCounts counts;
};

// State of the whole system. Holder 0 has the duty first; holder 1 takes it over.
struct SystemState {
  std::array<std::optional<WindowReport>, kHolders> reports;
  size_t owner = 0;                      // holder named by the duty's record in the store
  std::optional<TenantCounts> recorded;  // in the store
  std::vector<DelayedRecord> delayed_records;
  std::vector<DelayedSend> delayed_sends;
  std::optional<size_t> greatest_token;  // seen by the platform; a holder's index is its token
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
    for (const DelayedRecord& delayed : delayed_records) {
      key += "w" + std::to_string(delayed.holder);
      add(delayed.counts);
    }
    for (const DelayedSend& delayed : delayed_sends) {
      key += "s" + std::to_string(delayed.holder);
      add(delayed.counts);
    }
    key += "t" + (greatest_token.has_value() ? std::to_string(*greatest_token) : "");
    for (const TenantCounts& counts : accepted) add(counts);
    return key;
  }
};

class Explorer {
 public:
  Explorer(bool checks_tokens, bool records) : checks_tokens_(checks_tokens) {
    SystemState state;
    state.reports[0].emplace(CountsOf(0), !records);
    records_ = records;
    Visit(state);
  }

  bool FoundTwoReports() const { return found_two_reports_; }
  size_t States() const { return seen_.size(); }
  bool WasAccepted() const { return accepted_; }

 private:
  bool WriteRecord(SystemState* state, size_t holder, const TenantCounts& counts) const {
    if (state->owner != holder || state->recorded.has_value()) return false;
    state->recorded = counts;
    return true;
  }

  // Returns false if the platform refuses the token.
  bool Accept(SystemState* state, size_t holder, const TenantCounts& counts) const {
    if (checks_tokens_ && state->greatest_token.value_or(0) > holder) return false;
    state->greatest_token = std::max(state->greatest_token.value_or(0), holder);
    state->accepted.insert(counts);
    return true;
  }

  void Visit(const SystemState& state) {
    if (state.accepted.size() > 1) found_two_reports_ = true;
    if (!state.accepted.empty()) accepted_ = true;
    if (found_two_reports_ || !seen_.insert(state.Key()).second) return;
    TakeOver(state);
    for (size_t holder = 0; holder < kHolders; ++holder) {
      if (!state.reports[holder].has_value()) continue;
      Act(state, holder);
      SystemState crashed = state;
      crashed.reports[holder].reset();
      Visit(crashed);
    }
    ExecuteDelayed(state);
  }

  // The second holder sends the recorded counts if there are any, or else records its own.
  void TakeOver(const SystemState& state) {
    if (state.owner == 1) return;
    SystemState next = state;
    next.owner = 1;
    if (next.recorded.has_value() && records_) {
      next.reports[1].emplace(*next.recorded, true);
    } else {
      next.reports[1].emplace(CountsOf(1), !records_);
    }
    Visit(next);
  }

  void Act(const SystemState& state, size_t holder) {
    switch (state.reports[holder]->Next()) {
      case Step::kRecord:
        return ActRecord(state, holder);
      case Step::kRead:
        return ActRead(state, holder);
      case Step::kSend:
        return ActSend(state, holder);
      case Step::kDone:
      case Step::kLost:
        return;
    }
  }

  void ActRecord(const SystemState& state, size_t holder) {
    const TenantCounts counts = state.reports[holder]->Counts();
    SystemState answer_received = state;
    const bool written = WriteRecord(&answer_received, holder, counts);
    SystemState answer_lost = answer_received;
    answer_received.reports[holder]->OnRecorded(written ? RecordOutcome::kWritten
                                                        : RecordOutcome::kConditionFailed);
    Visit(answer_received);
    answer_lost.reports[holder]->OnRecorded(RecordOutcome::kUnknown);
    Visit(answer_lost);
    SystemState not_executed = state;
    not_executed.reports[holder]->OnRecorded(RecordOutcome::kUnknown);
    Visit(not_executed);
    if (state.delayed_records.size() >= kMaxDelayed) return;
    SystemState delayed_call = not_executed;
    delayed_call.delayed_records.push_back({holder, counts});
    Visit(delayed_call);
  }

  void ActRead(const SystemState& state, size_t holder) {
    SystemState next = state;
    next.reports[holder]->OnRead(state.recorded, state.owner == holder);
    Visit(next);
  }

  void ActSend(const SystemState& state, size_t holder) {
    const TenantCounts counts = state.reports[holder]->Counts();
    SystemState answer_received = state;
    const bool accepted = Accept(&answer_received, holder, counts);
    SystemState answer_lost = answer_received;
    answer_received.reports[holder]->OnSent(accepted ? SendOutcome::kAccepted
                                                     : SendOutcome::kFenced);
    Visit(answer_received);
    answer_lost.reports[holder]->OnSent(SendOutcome::kUnknown);
    Visit(answer_lost);
    if (state.delayed_sends.size() >= kMaxDelayed) return;
    SystemState delayed_call = state;
    delayed_call.reports[holder]->OnSent(SendOutcome::kUnknown);
    delayed_call.delayed_sends.push_back({holder, counts});
    Visit(delayed_call);
  }

  void ExecuteDelayed(const SystemState& state) {
    for (size_t i = 0; i < state.delayed_records.size(); ++i) {
      SystemState next = state;
      const DelayedRecord delayed = next.delayed_records[i];
      next.delayed_records.erase(next.delayed_records.begin() + static_cast<int64_t>(i));
      WriteRecord(&next, delayed.holder, delayed.counts);
      Visit(next);
    }
    for (size_t i = 0; i < state.delayed_sends.size(); ++i) {
      SystemState next = state;
      const DelayedSend delayed = next.delayed_sends[i];
      next.delayed_sends.erase(next.delayed_sends.begin() + static_cast<int64_t>(i));
      Accept(&next, delayed.holder, delayed.counts);
      Visit(next);
    }
  }

  bool checks_tokens_;
  bool records_ = true;
  bool found_two_reports_ = false;
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

// Shows that the exploration finds a violation if counts are sent without being recorded first.
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
