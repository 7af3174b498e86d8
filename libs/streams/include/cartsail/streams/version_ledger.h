// The versions of one service at which streams may have begun, as the store keeps them. A node
// begins streams at a version only when it knows that the ledger has it. So whoever reads the
// ledger after a stream has begun, and finds one version there, knows the stream's. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cartsail {

class VersionLedger {
 public:
  VersionLedger() = default;
  explicit VersionLedger(std::vector<std::string> versions);

  const std::vector<std::string>& Versions() const { return versions_; }
  bool Has(const std::string& version) const;

  void Add(const std::string& version);

  // Leaves those of `kept` only. True when that changes it.
  bool KeepOnly(const std::vector<std::string>& kept);

  // A JSON array of strings.
  std::string Encode() const;

  // Nothing when `text` is no ledger.
  static std::optional<VersionLedger> Decode(std::string_view text);

 private:
  std::vector<std::string> versions_;  // in alphabetical order, each once
};

// What was read of the ledger after a stream had begun, and what else bears on whether it can be
// trusted.
struct LedgerSnapshot {
  std::optional<VersionLedger> ledger;  // nothing: the store has none
  std::vector<std::string> listed;      // versions whose engines the reader has seen lately
  bool has_earlier_builds = false;      // nodes live that begin streams without asking the ledger
};

// The only version at which the stream can have begun; nothing: there may be another one.
std::optional<std::string> OnlyVersion(const LedgerSnapshot& reading);

}  // namespace cartsail
