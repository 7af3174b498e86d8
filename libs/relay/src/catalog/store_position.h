// Up to which store revision this node holds the store's contents, and thus where its watch goes
// on. The list of back ends and the document are judged apart, since peers send the changes of the
// one without the other: a revision that a peer told for the list says nothing of the document.
// Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace cartsail {

class StorePosition {
 public:
  // Records that the document in force, or a later one, is the newest as of store revision
  // `revision`; 0: nothing is known.
  void NoteDocument(int64_t revision) { document_ = std::max(document_, revision); }

  // Records that the store listed everything as of `revision`.
  void NoteListed(int64_t revision) {
    NoteDocument(revision);
    lost_after_.reset();
  }

  // Records that this node's watch has delivered every change up to `revision`.
  void NoteWatched(int64_t revision) {
    watched_ = std::max(watched_, revision);
    NoteDocument(revision);
  }

  // Records that the store no longer has all changes after Held().
  void NoteHistoryLost(int64_t list_revision) { lost_after_ = Held(list_revision); }

  // Store revision up to which this node holds everything; 0: none. `list_revision`: up to which it
  // holds the changes of back ends and drained zones.
  int64_t Held(int64_t list_revision) const {
    return std::max(watched_, std::min(list_revision, document_));
  }

  // True if a watch would not deliver all that this node lacks.
  bool MustList(int64_t list_revision) const {
    const int64_t held = Held(list_revision);
    return held == 0 || (lost_after_.has_value() && held <= *lost_after_);
  }

  // Store revision as of which the document in force is the newest one; 0: unknown.
  int64_t Document() const { return document_; }

 private:
  int64_t document_ = 0;
  int64_t watched_ = 0;  // latest revision of a watch event, of any key
  std::optional<int64_t> lost_after_;
};

}  // namespace cartsail
