#include "cartsail/base/status.h"
#include "cartsail/config/snapshot.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

Branch MakeTenant() {
  Branch branch;
  branch.tenant = "airport";
  branch.revision = 3;
  branch.settings["tier"] = "4";
  branch.keys.push_back({"k1", std::string(64, 'a')});
  branch.services["assistant"].settings["ttft_target"] = "2s";
  branch.services["assistant"].classes["gate-change"]["tier"] = "0";
  branch.services["assistant"].classes["tagging"];
  return branch;
}

ConfigDelta DeltaOf(int64_t since, int64_t revision, const Branch& branch) {
  ConfigDelta delta;
  delta.since = since;
  delta.revision = revision;
  delta.branches.push_back({branch.tenant, SerializeBranch(branch), revision});
  return delta;
}

Test(tree, paths) {
  const char* valid[] = {"root", "airport", "airport/assistant", "airport/assistant/gate-change"};
  for (const char* text : valid) {
    const absl::StatusOr<TreePath> path = ParseTreePath(text);
    cr_assert(path.ok(), "%s", text);
    cr_assert(path->ToString() == text);
  }
  for (const char* text : {"", "a/b/c/d", "/a", "a//b", "A", "a b", "root/x", "a/root"}) {
    cr_expect(!ParseTreePath(text).ok(), "%s", text);
  }
}

Test(tree, serialized_branch_reads_back) {
  const Branch branch = MakeTenant();
  const absl::StatusOr<Branch> read = ParseBranch("airport", SerializeBranch(branch));
  cr_assert(read.ok());
  cr_assert(read->revision == 3);
  cr_assert(read->settings == branch.settings);
  cr_assert(read->services.at("assistant").classes == branch.services.at("assistant").classes);
  cr_assert(read->keys.size() == 1 && read->keys[0].id == "k1");
}

Test(policy, a_level_inherits_what_it_does_not_give) {
  Branch root;
  root.settings["max_wait"] = "7s";
  const Branch tenant = MakeTenant();
  const absl::StatusOr<ClassPolicy> gate = ResolveClass(root, tenant, "assistant", "gate-change");
  cr_assert(gate.ok());
  cr_assert(gate->tier == 0);                    // class
  cr_assert(gate->ttft_target == seconds(2));    // service
  cr_assert(gate->max_wait == seconds(7));       // root
  cr_assert(gate->resume_grace == seconds(10));  // default
  const absl::StatusOr<ClassPolicy> tagging = ResolveClass(root, tenant, "assistant", "tagging");
  cr_assert(tagging.ok() && tagging->tier == 4);  // tenant
}

Test(policy, unknown_nodes_have_types) {
  const Branch tenant = MakeTenant();
  cr_assert(KindOf(ResolveClass(Branch(), tenant, "x", "y").status()) ==
            ErrorKind::kUnknownService);
  cr_assert(KindOf(ResolveClass(Branch(), tenant, "assistant", "y").status()) ==
            ErrorKind::kUnknownClass);
}

Test(policy, not_repeatable_is_never_preemptible) {
  Branch tenant = MakeTenant();
  tenant.services["assistant"].classes["tagging"]["repeatable"] = "false";
  const absl::StatusOr<ClassPolicy> policy = ResolveClass(Branch(), tenant, "assistant", "tagging");
  cr_assert(policy.ok() && !policy->repeatable && !policy->preemptible);
}

// Every kind of invalid setting is rejected, and all faults of a branch are listed together.
Test(validation, bad_settings) {
  struct Case {
    const char* setting;
    const char* value;
  };
  const Case cases[] = {
      {"tier", "6"},
      {"tier", "-1"},
      {"tier", "high"},
      {"tier", " 1"},
      {"retry_budget", "0.1 "},
      {"max_wait", "1 s"},
      {"max_wait", "infs"},
      {"tier", ""},
      {"tier", "1.5"},
      {"ttft_target", "500"},
      {"ttft_target", "0s"},
      {"ttft_target", "-1s"},
      {"ttft_target", "1 hour"},
      {"ttft_target", "11m"},
      {"ttft_target", "s"},
      {"ttft_target", "nans"},
      {"token_interval_target", "11s"},
      {"token_interval_target", "ms"},
      {"max_wait", "1ms"},
      {"max_wait", "2h"},
      {"max_wait", "ten"},
      {"deadline", "25h"},
      {"deadline", "0ms"},
      {"repeatable", "yes"},
      {"repeatable", "1"},
      {"repeatable", "TRUE"},
      {"preemptible", "no"},
      {"resume_grace", "11m"},
      {"resume_grace", "-5s"},
      {"retry_budget", "1.1"},
      {"retry_budget", "-0.1"},
      {"retry_budget", "many"},
      {"rate_limit", "0"},
      {"rate_limit", "1e3x"},
      {"max_in_flight", "0"},
      {"max_in_flight", "none"},
      {"tier_shares", "0.1"},
      {"headroom_limit", "0.2"},
      {"queue_limit", "5"},
      {"claim_retention", "1h"},
      {"backend", "x"},
      {"teir", "1"},
      {"", "1"},
      {"Tier", "1"},
  };
  Branch branch = MakeTenant();
  size_t expected = 0;
  for (const Case& bad : cases) {
    Branch one = MakeTenant();
    one.settings[bad.setting] = bad.value;
    cr_expect(ValidateBranch(Branch(), one).size() == 1, "%s=%s", bad.setting, bad.value);
    ++expected;
  }
  cr_expect(expected >= 40);
  branch.settings["tier"] = "9";
  branch.services["assistant"].settings["max_wait"] = "soon";
  branch.services["assistant"].classes["gate-change"]["colour"] = "red";
  cr_assert(ValidateBranch(Branch(), branch).size() == 3);
}

Test(validation, a_tier_without_share_is_refused) {
  for (const char* shares : {"0,0.1,0.1,0.1,0.1,0.05", "0.1,0.1,0.1,0.1,0.1,0.1", "0.02,0.02",
                             "a,b,c,d,e,f", "0.02,0.02,0.02,0.02,0.02,nan"}) {
    Branch root;
    root.settings["tier_shares"] = shares;
    cr_expect(ValidateBranch(root, root).size() == 1, "%s", shares);
  }
}

Test(validation, a_wait_longer_than_the_deadline_is_refused) {
  Branch branch = MakeTenant();
  branch.services["assistant"].classes["gate-change"]["deadline"] = "5s";
  cr_assert(ValidateBranch(Branch(), branch).size() == 1);
}

Test(snapshot, revisions_only_go_up) {
  const Branch branch = MakeTenant();
  const absl::StatusOr<ConfigSnapshotPtr> first =
      ConfigSnapshot::Empty()->Apply(DeltaOf(0, 3, branch));
  cr_assert(first.ok());
  for (const int64_t revision : {1, 2, 3}) {
    const auto older = (*first)->Apply(DeltaOf(0, revision, branch));
    cr_assert(KindOf(older.status()) == ErrorKind::kStaleRevision);
  }
  // A delta whose `since` is greater than the revision leaves a gap.
  cr_assert(KindOf((*first)->Apply(DeltaOf(4, 5, branch)).status()) == ErrorKind::kStaleRevision);
  cr_assert((*first)->Apply(DeltaOf(3, 4, branch)).ok());
}

Test(snapshot, a_delta_brings_another_node_to_the_same_state) {
  Branch branch = MakeTenant();
  auto node = ConfigSnapshot::Empty()->Apply(DeltaOf(0, 3, branch)).value();
  branch.settings["tier"] = "2";
  branch.revision = 4;
  branch.keys = {{"k2", std::string(64, 'b')}};
  node = node->Apply(DeltaOf(3, 4, branch)).value();
  const auto other = ConfigSnapshot::Empty()->Apply(node->DeltaSince(0)).value();
  cr_assert(other->Revision() == 4);
  cr_assert(other->Resolve("airport", "assistant", "tagging")->tier == 2);
  cr_assert(other->TenantOfKey(std::string(64, 'b')) == "airport");
  cr_assert(node->TenantOfKey(std::string(64, 'a')).empty(), "the removed key is gone");
  cr_assert(node->DeltaSince(4).branches.empty());
}

Test(snapshot, branch_keys_name_their_tenants) {
  std::string tenant = "x";
  cr_assert(TenantOfBranchKey(BranchKey(""), &tenant) && tenant.empty());
  cr_assert(TenantOfBranchKey(BranchKey("airport"), &tenant) && tenant == "airport");
  cr_assert(!TenantOfBranchKey(kHeadKey, &tenant));
}

}  // namespace
}  // namespace cartsail
