// Verifies that the process behind an engine's id is the listed one. Engines may keep their ids
// across restarts and come back with another version, so a list that is older than a connection or
// an event says nothing about the process at the other end. Not thread-safe.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cartsail/base/timer.h"
#include "cartsail/dispatch/backend_registry.h"
#include "cartsail/retries/stall_detector.h"
#include "cartsail/streams/engine_entry.h"
#include "cartsail/streams/stream_record.h"

namespace cartsail {

class EngineProcessVerifier {
 public:
  // Reads an engine's entry from the store; yields nullopt when the store has none.
  using ReadEntry =
      std::function<boost::asio::awaitable<absl::StatusOr<std::optional<EngineEntry>>>(
          std::string id)>;

  EngineProcessVerifier(boost::asio::io_context& io, const BackendRegistry& registry)
      : io_(io), registry_(registry) {}

  // Without an entry reader the list of engines is trusted as it is.
  void SetEntryReader(ReadEntry read) { read_entry_ = std::move(read); }

  // Must be called every StallDetector::kInterval.
  void Beat(TimePoint now) { stalls_.Beat(now); }

  // This node has just read that its list of engines matched the store at `then`.
  void NoteListConfirmed(TimePoint then);
  TimePoint ListConfirmed() const { return list_confirmed_; }

  // True when the list alone proves that a connection made at `connected` leads to the listed
  // process.
  bool IsListedProcess(const Backend& backend, TimePoint connected) const;

  // True when the process to which a connection was made at `connected` has the listed version.
  // May wait for the store; false when the store does not answer.
  boost::asio::awaitable<bool> HasListedVersion(Backend backend, TimePoint connected);

  // True when the list proves that the recorded process wrote the stream's first event.
  bool IsConfirmed(const StreamRecord& stream) const;

  // True when the process that wrote the stream's first event has the recorded version. May wait
  // for the store; false when the store does not answer.
  boost::asio::awaitable<bool> HasRecordedVersion(StreamRecord stream);

 private:
  struct EntryRead {
    bool is_done = false;
    absl::StatusOr<std::optional<EngineEntry>> entry;
  };

  bool IsListConfirmed(const std::string& id, int64_t started_ms, TimePoint since) const;
  // Reads the current entry of engine `id`; fails when the store does not answer within
  // kEntryTimeout.
  boost::asio::awaitable<absl::StatusOr<std::optional<EngineEntry>>> ReadNow(std::string id);
  boost::asio::awaitable<void> ReadEntryInto(std::string id, std::shared_ptr<EntryRead> entry_read);

  boost::asio::io_context& io_;
  const BackendRegistry& registry_;
  ReadEntry read_entry_;
  TimePoint list_confirmed_{};
  StallDetector stalls_;
};

}  // namespace cartsail
