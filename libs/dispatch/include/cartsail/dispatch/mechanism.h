// The mechanisms of placement and recovery that can be switched off one by one, to measure what
// each is worth (docs/ABLATION.md). All are on in production. Pure.
#pragma once

#include <absl/status/statusor.h>

#include <bitset>
#include <string>
#include <string_view>

namespace cartsail {

enum class Mechanism {
  kPrefixAffinity,   // engines that hold a part of the prompt are preferred
  kMemoryMoves,      // prompt memory is taken over from another engine
  kReadingPause,     // pauses under reading are learnt for each engine
  kStreamRisk,       // a prompt costs what it does to the streams beside it
  kFutureBreaks,     // a stream avoids engines where streams were put beyond their pauses lately
  kDivision,         // engines are set aside for light requests
  kPace,             // first outputs later than expected make an engine count as slow
  kFailureShare,     // recent failures weigh against a back end
  kSuspension,       // a back end that was lost is left out for a while
  kIdleConnections,  // back ends with an idle connection are preferred
  kCacheInventory,   // a new coordinator asks engines what they hold
};

inline constexpr size_t kMechanisms = 11;  // the number of them

// As written in settings: prefix_affinity and so on.
std::string_view MechanismName(Mechanism mechanism);

// A set of mechanisms that are off.
class DisabledMechanisms {
 public:
  bool Has(Mechanism mechanism) const { return set_.test(static_cast<size_t>(mechanism)); }
  void Add(Mechanism mechanism) { set_.set(static_cast<size_t>(mechanism)); }
  bool IsEmpty() const { return set_.none(); }

  // Their names, joined by commas.
  std::string ToString() const;

  // Reads what ToString() writes; names that no mechanism has are refused.
  static absl::StatusOr<DisabledMechanisms> Parse(std::string_view text);

 private:
  std::bitset<kMechanisms> set_;
};

}  // namespace cartsail
