#include "streams/stream_message.h"

namespace cartsail {

std::string_view VersionSourceName(VersionSource source) {
  switch (source) {
    case VersionSource::kNone:
      return "none";
    case VersionSource::kOwnRecord:
      return "own_record";
    case VersionSource::kPeerRecord:
      return "peer_record";
    case VersionSource::kStoredRecord:
      return "stored_record";
    case VersionSource::kOnlyVersion:
      return "only_version";
  }
  return "unknown";
}

}  // namespace cartsail
