// What nodes ask and tell each other of begun streams and of the versions at which they may begin.
// Plain structs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/streams/stream_record.h"

namespace cartsail {

enum class StreamQuestionKind : uint8_t {
  kKeep,      // keeps `records`
  kFind,      // at which version was `stream` begun?
  kMayBegin,  // may streams begin at `version`?
};

inline constexpr uint8_t kStreamQuestionKinds = 3;  // the number of them

struct StreamQuestion {
  uint32_t id = 0;
  StreamQuestionKind kind = StreamQuestionKind::kKeep;
  std::string service;
  std::vector<StreamRecord> records;
  StreamKey stream = 0;
  std::string version;
};

// How the version of a begun stream is known.
enum class VersionSource : uint8_t {
  kNone,          // it is not
  kOwnRecord,     // this node passed the stream on, or was told of it before
  kPeerRecord,    // another node was told of it
  kStoredRecord,  // the store has it
  kOnlyVersion,   // streams of the service have begun at no other version
};

inline constexpr uint8_t kVersionSources = 5;  // the number of them

std::string_view VersionSourceName(VersionSource source);

struct StreamAnswer {
  uint32_t id = 0;      // of the question
  bool is_yes = false;  // kept, found, or it may
  StreamRecord record;  // the stream, where it was asked for and found
  VersionSource source = VersionSource::kNone;
  uint32_t ledger_size = 0;  // versions in the ledger; 0: not known
  Duration holds{};          // a permission
};

}  // namespace cartsail
