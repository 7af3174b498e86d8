// The engine versions of one service at which streams may have started, as kept in the store. A
// node starts streams at a version only when it knows that the ledger contains it. A reader that
// finds a single version in the ledger after a stream has started therefore knows the stream's
// version. Performs no I/O.
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

  // Removes all versions that are not in `kept`. Returns true if any was removed.
  bool KeepOnly(const std::vector<std::string>& kept);

  // Returns a JSON array of strings.
  std::string Encode() const;

  // Parses the format of Encode(); nullopt if `text` is malformed.
  static std::optional<VersionLedger> Decode(std::string_view text);

 private:
  std::vector<std::string> versions_;  // sorted, unique
};

// The ledger as read after a stream had started, and what determines whether it can be trusted.
struct LedgerSnapshot {
  std::optional<VersionLedger> ledger;  // nullopt: not in the store
  std::vector<std::string> listed;      // versions of engines that the reader has seen recently
  bool has_earlier_builds = false;      // some live nodes start streams without asking the ledger
};

// The only version at which the stream can have started; nullopt if there may be several.
std::optional<std::string> OnlyVersion(const LedgerSnapshot& snapshot);

}  // namespace cartsail
