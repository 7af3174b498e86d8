// Messages that nodes exchange about started streams and about the versions at which streams may
// start. Plain structs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cartsail/streams/stream_record.h"

namespace cartsail {

enum class StreamQuestionKind : uint8_t {
  kKeep,      // keep a copy of `records`
  kFind,      // at which version was `stream` started?
  kMayBegin,  // may streams start at `version`?
};

inline constexpr uint8_t kStreamQuestionKinds = 3;  // number of enumerators

struct StreamQuestion {
  uint32_t id = 0;
  StreamQuestionKind kind = StreamQuestionKind::kKeep;
  std::string service;
  std::vector<StreamRecord> records;
  StreamKey stream = 0;
  std::string version;
};

// How the version of a started stream is known.
enum class VersionSource : uint8_t {
  kNone,          // unknown
  kOwnRecord,     // this node relayed the stream or had its record already
  kPeerRecord,    // another node had its record
  kStoredRecord,  // the store had its record
  kOnlyVersion,   // streams of the service have started at no other version
};

inline constexpr uint8_t kVersionSources = 5;  // number of enumerators

std::string_view VersionSourceName(VersionSource source);

struct StreamAnswer {
  uint32_t id = 0;      // of the question
  bool is_yes = false;  // kept, found or permitted
  StreamRecord record;  // kFind: of the stream; empty when not found
  VersionSource source = VersionSource::kNone;
  uint32_t ledger_size = 0;  // versions in the ledger; 0: unknown
  Duration holds{};          // kMayBegin: remaining validity of the permission
};

}  // namespace cartsail
