#include "cartsail/streams/version_ledger.h"

#include <algorithm>
#include <utility>

#include "cartsail/base/json.h"

namespace cartsail {

VersionLedger::VersionLedger(std::vector<std::string> versions) : versions_(std::move(versions)) {
  std::sort(versions_.begin(), versions_.end());
  versions_.erase(std::unique(versions_.begin(), versions_.end()), versions_.end());
}

bool VersionLedger::Has(const std::string& version) const {
  return std::binary_search(versions_.begin(), versions_.end(), version);
}

void VersionLedger::Add(const std::string& version) {
  if (Has(version)) return;
  versions_.insert(std::upper_bound(versions_.begin(), versions_.end(), version), version);
}

bool VersionLedger::KeepOnly(const std::vector<std::string>& kept) {
  const auto is_dropped = [&kept](const std::string& version) {
    return std::find(kept.begin(), kept.end(), version) == kept.end();
  };
  return std::erase_if(versions_, is_dropped) > 0;
}

std::string VersionLedger::Encode() const {
  json::array texts;
  for (const std::string& version : versions_) texts.push_back(json::value(version));
  return json::serialize(texts);
}

std::optional<VersionLedger> VersionLedger::Decode(std::string_view text) {
  const absl::StatusOr<json::value> value = ParseJson(text);
  if (!value.ok() || !value->is_array()) return std::nullopt;
  std::vector<std::string> versions;
  for (const json::value& version : value->as_array()) {
    if (!version.is_string()) return std::nullopt;
    versions.emplace_back(version.as_string());
  }
  return VersionLedger(std::move(versions));
}

std::optional<std::string> OnlyVersion(const LedgerSnapshot& snapshot) {
  if (!snapshot.ledger.has_value() || snapshot.ledger->Versions().size() != 1) return std::nullopt;
  const std::string& version = snapshot.ledger->Versions().front();
  const auto is_other = [&version](const std::string& listed) { return listed != version; };
  const bool has_other = std::any_of(snapshot.listed.begin(), snapshot.listed.end(), is_other);
  if (snapshot.has_earlier_builds && has_other) return std::nullopt;
  return version;
}

}  // namespace cartsail
