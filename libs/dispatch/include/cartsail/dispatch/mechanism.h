// The mechanisms of placement and recovery that can be disabled individually, to measure the effect
// of each (docs/ABLATION.md). All are enabled in production. Performs no I/O.
#pragma once

#include <absl/status/statusor.h>

#include <bitset>
#include <string>
#include <string_view>

namespace cartsail {

enum class Mechanism {
  kPrefixAffinity,   // engines that hold a prefix of the prompt are preferred
  kMemoryMoves,      // KV cache is transferred from another engine
  kReadingPause,     // stream pauses during prefill are learned for each engine
  kStreamRisk,       // a prompt's cost includes its effect on concurrent streams
  kFutureBreaks,     // a stream avoids engines where pause bounds were recently broken
  kDivision,         // engines are reserved for light requests
  kPace,             // late first outputs make an engine count as slow
  kFailureShare,     // recent failures count against a back end
  kSuspension,       // a lost back end is excluded for a while
  kIdleConnections,  // back ends with an idle connection are preferred
  kCacheInventory,   // a new coordinator queries engines for their cached prefixes
};

inline constexpr size_t kMechanisms = 11;  // number of enumerators

// The name used in settings, such as prefix_affinity.
std::string_view MechanismName(Mechanism mechanism);

// The set of disabled mechanisms.
class DisabledMechanisms {
 public:
  bool Has(Mechanism mechanism) const { return set_.test(static_cast<size_t>(mechanism)); }
  void Add(Mechanism mechanism) { set_.set(static_cast<size_t>(mechanism)); }
  bool IsEmpty() const { return set_.none(); }

  // Their names, joined by commas.
  std::string ToString() const;

  // Parses the format of ToString(). Unknown names are an error.
  static absl::StatusOr<DisabledMechanisms> Parse(std::string_view text);

 private:
  std::bitset<kMechanisms> set_;
};

}  // namespace cartsail
