#include "cartsail/config/policy.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <set>

#include "cartsail/base/status.h"

namespace cartsail {
namespace {

constexpr size_t kSha256HexLength = 64;

// The overrides at a path and at the levels above it, lowest first; null where a level is absent.
struct InheritanceChain {
  const SettingMap* class_settings = nullptr;
  const SettingMap* service_settings = nullptr;
  const SettingMap* tenant_settings = nullptr;
  const SettingMap* root_settings = nullptr;
};

struct LookupResult {
  std::string_view value;
  std::string_view level;
};

LookupResult Lookup(const InheritanceChain& chain, const SettingSpec& spec) {
  struct Step {
    const SettingMap* settings;
    SettingLevel level;
  };
  const Step steps[] = {{chain.class_settings, kClassLevel},
                        {chain.service_settings, kServiceLevel},
                        {chain.tenant_settings, kTenantLevel},
                        {chain.root_settings, kRootLevel}};
  for (const Step& step : steps) {
    if (step.settings == nullptr) continue;
    const auto found = step.settings->find(spec.name);
    if (found != step.settings->end()) return {found->second, LevelName(step.level)};
  }
  return {spec.default_value, "default"};
}

std::string_view TextValue(const InheritanceChain& chain, std::string_view name) {
  return Lookup(chain, *FindSetting(name)).value;
}

int64_t IntegerValue(const InheritanceChain& chain, std::string_view name) {
  const std::string_view text = TextValue(chain, name);
  int64_t value = 0;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &value)) return 0;
  return value;
}

double FractionValue(const InheritanceChain& chain, std::string_view name) {
  const std::string_view text = TextValue(chain, name);
  double value = 0;
  if (!absl::SimpleAtod(absl::string_view(text.data(), text.size()), &value)) return 0;
  return value;
}

Duration DurationValue(const InheritanceChain& chain, std::string_view name) {
  double value = 0;
  if (!ParseDurationSeconds(TextValue(chain, name), &value)) return Duration(0);
  return FromSeconds(value);
}

bool BooleanValue(const InheritanceChain& chain, std::string_view name) {
  return TextValue(chain, name) == "true";
}

InheritanceChain MakeChain(const Branch& root, const Branch* tenant, const TreePath& path) {
  InheritanceChain chain;
  chain.root_settings = &root.settings;
  if (tenant == nullptr) return chain;
  chain.tenant_settings = &tenant->settings;
  if (!path.service.empty()) {
    chain.service_settings = FindSettings(*tenant, {path.tenant, path.service, ""});
  }
  if (!path.class_name.empty()) chain.class_settings = FindSettings(*tenant, path);
  return chain;
}

void ValidateSettings(const TreePath& path, const SettingMap& settings,
                      std::vector<std::string>* faults) {
  for (const auto& [name, value] : settings) {
    const SettingSpec* spec = FindSetting(name);
    if (spec == nullptr) {
      faults->push_back(fmt::format("{}: unknown setting {}", path.ToString(), name));
      continue;
    }
    if ((spec->levels & path.Level()) == 0) {
      faults->push_back(fmt::format("{}: {} is not allowed at {} level", path.ToString(), name,
                                    LevelName(path.Level())));
      continue;
    }
    const absl::Status status = CheckSettingValue(*spec, value);
    if (!status.ok()) {
      faults->push_back(fmt::format("{}: {}", path.ToString(), std::string(status.message())));
    }
  }
}

void ValidateKeys(const Branch& branch, std::vector<std::string>* faults) {
  std::set<std::string> ids;
  for (const KeyEntry& key : branch.keys) {
    if (key.id.empty() || !ids.insert(key.id).second) {
      faults->push_back(
          fmt::format("{}: key id '{}' is empty or duplicate", branch.tenant, key.id));
    }
    if (key.sha256.size() != kSha256HexLength) {
      faults->push_back(fmt::format("{}: key {} has no SHA-256 hash", branch.tenant, key.id));
    }
  }
}

// Checks rules between settings of one class, which may be set at different levels.
void ValidateClass(const Branch& root, const Branch& branch, const std::string& service,
                   const std::string& class_name, std::vector<std::string>* faults) {
  const absl::StatusOr<ClassPolicy> policy = ResolveClass(root, branch, service, class_name);
  if (!policy.ok()) return;
  const TreePath path{branch.tenant, service, class_name};
  if (policy->max_wait > policy->deadline) {
    faults->push_back(
        fmt::format("{}: max_wait is longer than the deadline in force", path.ToString()));
  }
}

}  // namespace

absl::StatusOr<ClassPolicy> ResolveClass(const Branch& root, const Branch& tenant,
                                         std::string_view service, std::string_view class_name) {
  const TreePath path{tenant.tenant, std::string(service), std::string(class_name)};
  const InheritanceChain chain = MakeChain(root, &tenant, path);
  if (chain.service_settings == nullptr) {
    return MakeError(ErrorKind::kUnknownService, "the tenant has no such service");
  }
  if (chain.class_settings == nullptr) {
    return MakeError(ErrorKind::kUnknownClass, "the service has no such class");
  }
  ClassPolicy policy;
  policy.tenant = path.tenant;
  policy.service = path.service;
  policy.class_name = path.class_name;
  policy.tier = static_cast<int>(IntegerValue(chain, "tier"));
  policy.ttft_target = DurationValue(chain, "ttft_target");
  policy.token_interval_target = DurationValue(chain, "token_interval_target");
  policy.max_wait = DurationValue(chain, "max_wait");
  policy.deadline = DurationValue(chain, "deadline");
  policy.repeatable = BooleanValue(chain, "repeatable");
  policy.preemptible = BooleanValue(chain, "preemptible") && policy.repeatable;
  policy.resume_grace = DurationValue(chain, "resume_grace");
  policy.retry_budget = FractionValue(chain, "retry_budget");
  policy.rate_limit = IntegerValue(chain, "rate_limit");
  policy.max_in_flight = IntegerValue(chain, "max_in_flight");
  policy.backend = TextValue(chain, "backend");
  return policy;
}

FleetPolicy ResolveFleet(const Branch& root) {
  const InheritanceChain chain = MakeChain(root, nullptr, TreePath());
  FleetPolicy fleet;
  const std::string_view shares = TextValue(chain, "tier_shares");
  size_t tier = 0;
  for (const absl::string_view part :
       absl::StrSplit(absl::string_view(shares.data(), shares.size()), ',')) {
    double share = 0;
    if (tier < kTierCount && absl::SimpleAtod(part, &share)) fleet.tier_shares[tier] = share;
    ++tier;
  }
  fleet.headroom_limit = FractionValue(chain, "headroom_limit");
  fleet.queue_limit = IntegerValue(chain, "queue_limit");
  fleet.claim_retention = DurationValue(chain, "claim_retention");
  return fleet;
}

std::vector<SettingOrigin> ExplainPath(const Branch& root, const Branch* tenant,
                                       const TreePath& path) {
  const InheritanceChain chain = MakeChain(root, tenant, path);
  std::vector<SettingOrigin> origins;
  for (const SettingSpec& spec : SettingSchema()) {
    const LookupResult found = Lookup(chain, spec);
    origins.push_back({std::string(spec.name), std::string(found.value), std::string(found.level)});
  }
  return origins;
}

std::vector<std::string> ValidateBranch(const Branch& root, const Branch& branch) {
  std::vector<std::string> faults;
  if (branch.deleted) return faults;
  ValidateSettings({branch.tenant, "", ""}, branch.settings, &faults);
  ValidateKeys(branch, &faults);
  for (const auto& [service_name, service] : branch.services) {
    ValidateSettings({branch.tenant, service_name, ""}, service.settings, &faults);
    for (const auto& [class_name, settings] : service.classes) {
      ValidateSettings({branch.tenant, service_name, class_name}, settings, &faults);
    }
  }
  // Rules between settings are only meaningful if each value is valid by itself.
  if (!faults.empty()) return faults;
  for (const auto& [service_name, service] : branch.services) {
    for (const auto& [class_name, settings] : service.classes) {
      ValidateClass(root, branch, service_name, class_name, &faults);
    }
  }
  return faults;
}

}  // namespace cartsail
