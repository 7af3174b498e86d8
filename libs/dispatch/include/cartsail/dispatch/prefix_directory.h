// Which back ends hold which parts of prompts, as far as this node and its peers have placed
// requests there. An estimate: back ends drop parts that nobody used for long. Pure.
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
  // A part that nobody used for `lifetime` is taken for dropped.
  explicit PrefixDirectory(Duration lifetime) : lifetime_(lifetime) {}

  // `backend` reads or has read the part.
  void Note(uint64_t part, BackendKey backend, TimePoint now);

  // It has read the part to the end, and can hand it over.
  void NoteRead(uint64_t part, BackendKey backend);

  // Tokens at the start of `parts` that `backend` holds or is reading.
  int64_t HeldTokens(const std::vector<PromptPart>& parts, BackendKey backend, TimePoint now) const;

  // Tokens at the start of `parts` that `backend` has read.
  int64_t ReadTokens(const std::vector<PromptPart>& parts, BackendKey backend, TimePoint now) const;

  // True when some back end holds the part.
  bool AnyHolds(uint64_t part, TimePoint now) const;

  // Back ends that hold or read shared parts of the prompt, those of longer prefixes first; `most`
  // at most. Looks at no more than `most` holders of each part.
  std::vector<BackendKey> HoldersOf(const std::vector<PromptPart>& parts, size_t most,
                                    TimePoint now) const;

  // Back ends that are gone hold nothing any more.
  void ForgetUnless(const std::function<bool(BackendKey)>& is_known);

  // Drops what has expired. To be called about once a second.
  void Expire(TimePoint now);

  size_t Size() const { return holders_.size(); }

 private:
  struct Holder {
    TimePoint last_use;
    bool read = false;
  };

  using Holders = std::unordered_map<BackendKey, Holder>;

  // nullptr when it does not hold the part any more.
  const Holder* Find(uint64_t part, BackendKey backend, TimePoint now) const;

  void Forget(BackendKey backend);

  Duration lifetime_;
  std::unordered_map<uint64_t, Holders> holders_;                          // by part
  std::unordered_map<BackendKey, std::unordered_set<uint64_t>> parts_of_;  // those in `holders_`
};

}  // namespace cartsail
