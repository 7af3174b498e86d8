// Estimates which back ends hold which prompt parts in their KV cache, from the placements of this
// node and its peers. An estimate only, since back ends evict parts that are unused for long.
// Performs no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/dispatch/request_profile.h"

namespace cartsail {

class PrefixDirectory {
 public:
  // A part that was not used for `lifetime` counts as evicted.
  explicit PrefixDirectory(Duration lifetime) : lifetime_(lifetime) {}

  // Records that `backend` is processing or has processed the part.
  void Note(uint64_t part, BackendKey backend, TimePoint now);

  // Records that `backend` has processed the whole part and can transfer it.
  void NoteRead(uint64_t part, BackendKey backend);

  // Tokens of the longest prefix of `parts` that `backend` holds or is processing.
  int64_t HeldTokens(const std::vector<PromptPart>& parts, BackendKey backend, TimePoint now) const;

  // Tokens of the longest prefix of `parts` that `backend` has completely processed.
  int64_t ReadTokens(const std::vector<PromptPart>& parts, BackendKey backend, TimePoint now) const;

  // True when any back end holds the part.
  bool AnyHolds(uint64_t part, TimePoint now) const;

  // Back ends that hold or are processing parts of the prompt, those with longer prefixes first, at
  // most `most`. Examines at most `most` holders of each part.
  std::vector<BackendKey> HoldersOf(const std::vector<PromptPart>& parts, size_t most,
                                    TimePoint now) const;

  // Forgets every back end for which `is_known` returns false.
  void ForgetUnless(const std::function<bool(BackendKey)>& is_known);

  // Forgets expired parts. To be called about once a second.
  void Expire(TimePoint now);

  size_t Size() const { return holders_.size(); }

 private:
  struct Holder {
    TimePoint last_use;
    bool read = false;
  };

  using Holders = std::unordered_map<BackendKey, Holder>;

  // The unexpired record of `backend` holding the part, or nullptr.
  const Holder* Find(uint64_t part, BackendKey backend, TimePoint now) const;

  void Forget(BackendKey backend);

  Duration lifetime_;
  std::unordered_map<uint64_t, Holders> holders_;                          // by part id
  std::unordered_map<BackendKey, std::unordered_set<uint64_t>> parts_of_;  // inverse of `holders_`
};

}  // namespace cartsail
