#include "cartsail/base/status.h"
#include "cartsail/operations/deployment.h"
#include "cartsail/operations/plan.h"
#include "cartsail/operations/request_log.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr char kWorkload[] = R"json({
  "name": "test", "topology": {"zones": 2, "nodes": 4, "engines": 4, "batch_limit": 16},
  "classes": [
    {"name": "top", "tier": 0, "rate": 10, "output_tokens_mean": 40,
     "burst": {"period_s": 10, "length_s": 1, "factor": 5}},
    {"name": "low", "tier": 4, "rate": 100, "output_tokens_mean": 100}]})json";

Test(plan, load_against_capacity) {
  const FleetPlan plan = MakePlan(ParseWorkload(kWorkload).value());
  // 16 sequences every 10 ms + 16 * 0.5 ms, four engines.
  cr_assert(std::abs(plan.capacity_tokens_per_s - 4 * 16 / 0.018) < 1);
  cr_assert(std::abs(plan.capacity_without_zone * 2 - plan.capacity_tokens_per_s) < 1);
  cr_assert(plan.tiers.size() == 2);
  cr_assert(std::abs(plan.tiers[0].tokens_per_s - 400) < 1);
  cr_assert(plan.tiers[0].peak_cumulative_share > plan.tiers[0].cumulative_share * 4.9);
  cr_assert(plan.tiers[1].cumulative_share > 1, "more than can be served");
  cr_assert(!plan.warnings.empty(), "is warned of");
}

Test(workload, faults_are_typed) {
  for (const char* text :
       {"", "[]", "{}", R"({"classes":[]})", R"({"classes":[1]})", R"({"classes":[{"tier":1}]})"}) {
    cr_expect(KindOf(ParseWorkload(text).status()) == ErrorKind::kInvalidArgument, "%s", text);
  }
}

Test(deployment, all_faults_at_once) {
  const json::object deployment = ParseJsonObject(R"json({
    "platform": "127.0.0.1:2379",
    "nodes": [
      {"id": "n1", "zone": "z1", "listen": "127.0.0.1:1", "admin": "10.0.0.1:2",
       "peer": "127.0.0.1:3"},
      {"id": "n1", "zone": "", "listen": "127.0.0.1:1", "admin": "127.0.0.1:4",
       "peer": "somewhere", "heartbeat_ms": 500, "suspect_ms": 600}],
    "back_ends": [
      {"id": "e1", "kind": "engine", "zone": "z9", "address": "127.0.0.1:3", "name": ""},
      {"id": "e2", "kind": "toaster", "zone": "z1", "address": "127.0.0.1:9", "name": "m"}]
  })json")
                                      .value();
  const DeploymentFaults faults = CheckDeployment(deployment);
  // Id and address twice, no zone, bad peer, suspicion too short, address of e1, its name, e2.
  cr_assert(faults.errors.size() == 8, "%zu", faults.errors.size());
  cr_assert(faults.warnings.size() >= 3, "%zu", faults.warnings.size());
  cr_assert(!CheckDeployment({}).errors.empty());
}

RequestRecord Record(double at_ms, const std::string& class_name, int tier, double service_ms) {
  RequestRecord record;
  record.at_ms = at_ms;
  record.tenant = "t";
  record.service = "s";
  record.class_name = class_name;
  record.model = "m";
  record.tier = tier;
  record.granted = true;
  record.service_ms = service_ms;
  return record;
}

Test(request_log, keeps_the_newest_and_reads_back) {
  RequestLog log(3);
  for (int i = 0; i < 5; ++i) log.Add(Record(i, "c", 1, 10));
  const std::vector<RequestRecord> records = log.Records();
  cr_assert(records.size() == 3 && records.front().at_ms == 2 && records.back().at_ms == 4);
  const auto parsed = ParseRequestLog(FormatRequestLog(records));
  cr_assert(parsed.ok() && parsed->size() == 3);
  cr_assert((*parsed)[1].class_name == "c" && (*parsed)[1].service_ms == 10);
  cr_assert(KindOf(ParseRequestLog("{}\nnonsense\n").status()) == ErrorKind::kMalformedRequest);
}

Test(replay, the_same_log_and_tree_give_the_same_report_and_another_tree_another) {
  std::vector<RequestRecord> records;
  for (int i = 0; i < 200; ++i) {
    records.push_back(Record(i * 20, i % 4 == 0 ? "urgent" : "bulk", i % 4 == 0 ? 0 : 4, 300));
  }
  ReplayOptions options;
  options.window = 8;
  const auto urgent_wait = [&](const std::map<std::string, Branch>& tenants) {
    const ReplayReport report = Replay(records, Branch(), tenants, options);
    double sum = 0;
    for (const double wait : report.classes.at("t/s/urgent").replayed_wait_ms) sum += wait;
    cr_assert(report.classes.at("t/s/urgent").requests == 50);
    return sum;
  };
  const double as_recorded = urgent_wait({});
  cr_assert(as_recorded == urgent_wait({}));
  Branch lowered;
  lowered.services["s"].classes["urgent"]["tier"] = "5";
  lowered.services["s"].classes["bulk"]["tier"] = "1";
  cr_assert(urgent_wait({{"t", lowered}}) > as_recorded * 2 + 100);
}

}  // namespace
}  // namespace cartsail
