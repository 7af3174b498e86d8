#include "cartsail/operations/config_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "cartsail/base/hash.h"
#include "cartsail/base/json.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr int kCommitTries = 5;
constexpr int kChangeIdBytes = 8;
constexpr int64_t kPageLimit = 1000;

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    if (!text.empty()) text += "; ";
    text += line;
  }
  return text;
}

Branch* FindBranch(ConfigState* state, const TreePath& path) {
  if (path.tenant.empty()) return &state->root;
  Branch& branch = state->tenants[path.tenant];
  branch.tenant = path.tenant;
  return &branch;
}

std::string ValueAt(const Branch& branch, const TreePath& path, const std::string& setting) {
  const SettingMap* settings = FindSettings(branch, path);
  if (settings == nullptr) return {};
  const auto found = settings->find(setting);
  return found == settings->end() ? std::string() : found->second;
}

void AddNode(Branch& branch, const TreePath& path) {
  branch.deleted = false;
  if (path.service.empty()) return;
  ServiceNode& service = branch.services[path.service];
  if (!path.class_name.empty()) service.classes.try_emplace(path.class_name);
}

bool RemoveNode(Branch& branch, const TreePath& path) {
  if (path.service.empty()) {
    const bool existed = !branch.deleted;
    branch.deleted = true;
    branch.settings.clear();
    branch.keys.clear();
    branch.services.clear();
    return existed;
  }
  if (path.class_name.empty()) return branch.services.erase(path.service) > 0;
  const auto service = branch.services.find(path.service);
  return service != branch.services.end() && service->second.classes.erase(path.class_name) > 0;
}

void ApplyKeyEdit(const ConfigChange::KeyEdit& edit, Branch& branch, std::vector<AuditEdit>* audit,
                  std::vector<std::string>* faults) {
  const auto position = std::find_if(branch.keys.begin(), branch.keys.end(),
                                     [&](const KeyEntry& key) { return key.id == edit.key.id; });
  const bool exists = position != branch.keys.end();
  const bool removes = edit.key.sha256.empty();
  if (removes && !exists) {
    faults->push_back(fmt::format("{}: no key with id {}", edit.tenant, edit.key.id));
    return;
  }
  if (removes) {
    branch.keys.erase(position);
  } else if (exists) {
    position->sha256 = edit.key.sha256;
  } else {
    branch.deleted = false;
    branch.keys.push_back(edit.key);
  }
  // Neither keys nor their hashes go into the audit trail.
  audit->push_back(
      {edit.tenant, "key:" + edit.key.id, exists ? "present" : "", removes ? "" : "present"});
}

std::set<std::string> TenantsTouched(const ConfigChange& change) {
  std::set<std::string> tenants;
  for (const Edit& edit : change.edits) tenants.insert(edit.path.tenant);
  for (const TreePath& path : change.added) tenants.insert(path.tenant);
  for (const TreePath& path : change.removed) tenants.insert(path.tenant);
  for (const ConfigChange::KeyEdit& key : change.keys) tenants.insert(key.tenant);
  return tenants;
}

Operation PutOperation(std::string key, std::string value) {
  Operation operation;
  operation.kind = Operation::Kind::kPut;
  operation.put = {std::move(key), std::move(value), 0};
  return operation;
}

}  // namespace

std::string AuditKey(int64_t revision) { return fmt::format("{}{:012}", kAuditPrefix, revision); }

std::string SerializeAudit(const AuditRecord& record) {
  json::array edits;
  for (const AuditEdit& edit : record.edits) {
    edits.push_back(json::object{
        {"path", edit.path}, {"setting", edit.setting}, {"from", edit.from}, {"to", edit.to}});
  }
  return json::serialize(json::object{{"revision", record.revision},
                                      {"change_id", record.change_id},
                                      {"who", record.who},
                                      {"when", record.when},
                                      {"edits", std::move(edits)}});
}

absl::StatusOr<AuditRecord> ParseAudit(std::string_view text) {
  const absl::StatusOr<json::object> object = ParseJsonObject(text);
  if (!object.ok()) return object.status();
  AuditRecord record;
  record.revision = GetInt(*object, "revision");
  record.change_id = GetString(*object, "change_id");
  record.who = GetString(*object, "who");
  record.when = GetString(*object, "when");
  if (const json::array* edits = GetArray(*object, "edits")) {
    for (const json::value& entry : *edits) {
      if (!entry.is_object()) continue;
      const json::object& edit = entry.as_object();
      record.edits.push_back({GetString(edit, "path"), GetString(edit, "setting"),
                              GetString(edit, "from"), GetString(edit, "to")});
    }
  }
  return record;
}

std::vector<AuditEdit> ApplyChange(const ConfigChange& change, ConfigState* state,
                                   std::vector<std::string>* faults) {
  std::vector<AuditEdit> audit;
  for (const TreePath& path : change.added) {
    AddNode(*FindBranch(state, path), path);
    audit.push_back({path.ToString(), "", "", "present"});
  }
  for (const Edit& edit : change.edits) {
    Branch& branch = *FindBranch(state, edit.path);
    const std::string from = ValueAt(branch, edit.path, edit.setting);
    if (!edit.value.has_value() && from.empty()) {
      faults->push_back(fmt::format("{}: {} is not set here", edit.path.ToString(), edit.setting));
      continue;
    }
    branch.deleted = false;
    ApplyEdit(branch, edit);
    audit.push_back({edit.path.ToString(), edit.setting, from, edit.value.value_or("")});
  }
  for (const ConfigChange::KeyEdit& key : change.keys) {
    TreePath path;
    path.tenant = key.tenant;
    ApplyKeyEdit(key, *FindBranch(state, path), &audit, faults);
  }
  for (const TreePath& path : change.removed) {
    if (path.tenant.empty()) {
      faults->push_back("root: the root cannot be removed");
    } else if (!RemoveNode(*FindBranch(state, path), path)) {
      faults->push_back(fmt::format("{}: does not exist", path.ToString()));
    } else {
      audit.push_back({path.ToString(), "", "present", ""});
    }
  }
  return audit;
}

asio::awaitable<absl::StatusOr<ConfigState>> ConfigStore::Read(
    std::optional<std::vector<std::string>> tenants) {
  ConfigState state;
  TxnRequest txn;
  std::vector<std::string> keys = {std::string(kHeadKey), BranchKey("")};
  for (const std::string& tenant : tenants.value_or(std::vector<std::string>())) {
    if (!tenant.empty()) keys.push_back(BranchKey(tenant));
  }
  // One transaction of reads: all from one state of the store.
  for (const std::string& key : keys) {
    Operation read;
    read.range.key = key;
    txn.success.push_back(read);
  }
  if (!tenants.has_value()) {
    Operation read;
    read.range.key = std::string(kBranchPrefix);
    read.range.range_end = PrefixEnd(std::string(kBranchPrefix));
    txn.success.push_back(read);
  }
  absl::StatusOr<TxnResult> result = co_await store_.Txn(txn);
  for (int i = 1; i < kCommitTries && !result.ok(); ++i) result = co_await store_.Txn(txn);
  if (!result.ok()) co_return result.status();
  for (const RangeResult& range : result->ranges) {
    for (const KeyValue& kv : range.kvs) {
      std::string tenant;
      if (kv.key == kHeadKey) {
        state.head = ParseHead(kv.value);
        state.head_mod_revision = kv.mod_revision;
      } else if (TenantOfBranchKey(kv.key, &tenant)) {
        absl::StatusOr<Branch> branch = ParseBranch(tenant, kv.value);
        if (!branch.ok()) co_return branch.status();
        (tenant.empty() ? state.root : state.tenants[tenant]) = std::move(*branch);
      }
    }
  }
  co_return state;
}

asio::awaitable<absl::StatusOr<ChangeResult>> ConfigStore::Apply(ConfigChange change) {
  const std::set<std::string> touched = TenantsTouched(change);
  std::optional<std::vector<std::string>> wanted(std::in_place, touched.begin(), touched.end());
  // A change of the root may make any class invalid, so that all are looked at.
  if (touched.contains("")) wanted.reset();
  const absl::StatusOr<ConfigState> before = co_await Read(std::move(wanted));
  if (!before.ok()) co_return before.status();
  if (change.expected_revision.has_value() && *change.expected_revision != before->head.revision) {
    co_return co_await Conflict(*change.expected_revision);
  }
  ConfigState after = *before;
  std::vector<std::string> faults;
  AuditRecord audit;
  audit.edits = ApplyChange(change, &after, &faults);
  for (const std::string& fault : ValidateBranch(after.root, after.root)) faults.push_back(fault);
  for (const auto& [tenant, branch] : after.tenants) {
    for (const std::string& fault : ValidateBranch(after.root, branch)) faults.push_back(fault);
  }
  if (!faults.empty()) co_return MakeError(ErrorKind::kInvalidSetting, Join(faults));
  if (audit.edits.empty()) co_return MakeError(ErrorKind::kInvalidSetting, "nothing to change");
  audit.revision = before->head.revision + 1;
  audit.change_id = RandomHex(kChangeIdBytes);
  audit.who = change.who;
  audit.when = change.when;
  co_return co_await Commit(change, *before, after, audit);
}

asio::awaitable<absl::StatusOr<ChangeResult>> ConfigStore::Commit(const ConfigChange& change,
                                                                  const ConfigState& before,
                                                                  const ConfigState& after,
                                                                  const AuditRecord& audit) {
  TxnRequest txn;
  Compare unchanged;
  unchanged.key = std::string(kHeadKey);
  unchanged.equals = before.head_mod_revision;
  txn.compares.push_back(unchanged);
  for (const std::string& tenant : TenantsTouched(change)) {
    Branch branch = tenant.empty() ? after.root : after.tenants.at(tenant);
    branch.revision = audit.revision;
    txn.success.push_back(PutOperation(BranchKey(tenant), SerializeBranch(branch)));
  }
  txn.success.push_back(PutOperation(AuditKey(audit.revision), SerializeAudit(audit)));
  txn.success.push_back(
      PutOperation(std::string(kHeadKey), SerializeHead({audit.revision, audit.change_id})));
  const ChangeResult done{audit.revision, audit.change_id};
  absl::Status failure;
  for (int i = 0; i < kCommitTries; ++i) {
    const absl::StatusOr<TxnResult> result = co_await store_.Txn(txn);
    if (result.ok() && result->succeeded) co_return done;
    // The reply may have been lost after the write, on this try or on the one before.
    const absl::StatusOr<bool> effect = co_await HasTakenEffect(audit.revision, audit.change_id);
    if (effect.ok() && *effect) co_return done;
    if (result.ok()) co_return co_await Conflict(before.head.revision);
    failure = result.status();
  }
  co_return failure;
}

asio::awaitable<absl::StatusOr<bool>> ConfigStore::HasTakenEffect(int64_t revision,
                                                                  const std::string& change_id) {
  RangeRequest range;
  range.key = AuditKey(revision);
  const absl::StatusOr<RangeResult> result = co_await store_.Range(std::move(range));
  if (!result.ok()) co_return result.status();
  if (result->kvs.empty()) co_return false;
  const absl::StatusOr<AuditRecord> record = ParseAudit(result->kvs.front().value);
  co_return record.ok() && record->change_id == change_id;
}

// Names what was changed after revision `from`.
asio::awaitable<absl::Status> ConfigStore::Conflict(int64_t from) {
  std::string text = fmt::format("the configuration was changed after revision {}", from);
  const absl::StatusOr<std::vector<AuditRecord>> records =
      co_await History(from + 1, from + kPageLimit);
  if (records.ok()) {
    for (const AuditRecord& record : *records) {
      for (const AuditEdit& edit : record.edits) {
        text += fmt::format("; revision {} by {}: {} {} '{}' -> '{}'", record.revision, record.who,
                            edit.path, edit.setting, edit.from, edit.to);
      }
    }
  }
  co_return MakeError(ErrorKind::kConflict, text);
}

asio::awaitable<absl::StatusOr<std::vector<AuditRecord>>> ConfigStore::History(int64_t from,
                                                                               int64_t to) {
  RangeRequest range;
  range.key = AuditKey(std::max<int64_t>(from, 0));
  range.range_end = AuditKey(to + 1);
  range.limit = kPageLimit;
  const absl::StatusOr<RangeResult> result = co_await store_.Range(std::move(range));
  if (!result.ok()) co_return result.status();
  std::vector<AuditRecord> records;
  for (const KeyValue& kv : result->kvs) {
    absl::StatusOr<AuditRecord> record = ParseAudit(kv.value);
    if (record.ok()) records.push_back(std::move(*record));
  }
  co_return records;
}

}  // namespace cartsail
