#include "fleet.h"

#include "engine_model.h"
#include "testing/criterion.h"

namespace cartsail::emulator {
namespace {

constexpr char kWorkload[] = R"json({
  "name": "test", "topology": {"zones": 2, "nodes": 4, "engines": 4, "batch_limit": 4},
  "classes": [
    {"name": "top", "tier": 0, "rate": 8, "output_tokens_mean": 20, "ttft_target_ms": 500,
     "max_wait_ms": 5000, "burst": {"period_s": 10, "start_s": 3, "length_s": 2, "factor": 4}},
    {"name": "payment", "tier": 1, "rate": 2, "output_tokens_mean": 40, "repeatable": false},
    {"name": "low", "tier": 4, "rate": 12, "output_tokens_mean": 80, "ttft_target_ms": 20000,
     "max_wait_ms": 30000}]})json";

FleetReport Run(const std::string& policy, uint64_t seed, std::vector<FleetFault> faults = {}) {
  const Workload workload = ParseWorkload(kWorkload).value();
  FleetOptions options;
  for (const FleetPolicy& known : KnownPolicies()) {
    if (known.name == policy) options.policy = known;
  }
  options.seconds = 30;
  options.seed = seed;
  options.faults = std::move(faults);
  return RunFleet(workload, options);
}

Test(fleet, the_same_seed_gives_the_same_report) {
  const FleetFault crash{FleetFault::Kind::kEngineCrash, 5, 5, 0.3, 1};
  const FleetFault kill{FleetFault::Kind::kNodeKill, 8, 5, 0.3, 1};
  const std::string first = json::serialize(Run("full", 7, {crash, kill}).measures);
  cr_assert(first == json::serialize(Run("full", 7, {crash, kill}).measures));
  cr_assert(first != json::serialize(Run("full", 8, {crash, kill}).measures));
}

Test(fleet, owner_queues_beat_nodes_alone_for_the_top_class) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const FleetReport alone = Run("alone", seed);
    const FleetReport full = Run("full", seed);
    cr_assert(full.top_attainment > 0.99, "%f", full.top_attainment);
    cr_assert(full.top_attainment > alone.top_attainment, "%f", alone.top_attainment);
    cr_assert(full.lowest_min_window > 0, "the lowest class is served");
  }
}

Test(fleet, every_request_has_one_end_under_faults) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const FleetReport report = Run("full", seed,
                                   {{FleetFault::Kind::kEngineCrash, 4, 6, 0.3, 2},
                                    {FleetFault::Kind::kNodeKill, 6, 5, 0.3, 2},
                                    {FleetFault::Kind::kPlatformOut, 10, 5, 0.3, 1},
                                    {FleetFault::Kind::kRestartAll, 20, 2, 0.3, 1}});
    int64_t ended = 0;
    for (const auto& member : report.measures.at("classes").as_object()) {
      ended += GetInt(member.value().as_object(), "requests");
    }
    cr_assert(ended == report.requests, "%ld of %ld", ended, report.requests);
  }
}

Test(engine_model, priority_admits_first_and_kv_overflow_puts_the_lowest_back) {
  EngineModelOptions options;
  options.batch_limit = 2;
  options.kv_tokens = 400;
  const TimePoint start(seconds(1));
  EngineModel model(options, start);
  for (uint64_t id = 1; id <= 4; ++id) {
    SequenceRequest request;
    request.id = id;
    request.priority = id == 4 ? 0 : 3;
    request.prompt_tokens = 150;
    request.output_tokens = 100;
    model.Submit(request, start);
  }
  cr_assert(model.Running() == 2 && model.Queued() == 2);
  model.Advance(start + seconds(60));
  cr_assert(model.TakeFinished().size() == 4, "all end");
  cr_assert(model.Counters().kv_preemptions > 0);
  cr_assert(model.Counters().tokens_generated == 400);
}

}  // namespace
}  // namespace cartsail::emulator
