// Whether the process behind an engine's id is the one that is listed. Where engines may keep their
// ids when they start again, perhaps with another version, a list that is older than a connection
// or an event tells nothing of the process at the other end. One thread.
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
#include "cartsail/retries/stall_watch.h"
#include "cartsail/streams/engine_entry.h"
#include "cartsail/streams/stream_record.h"

namespace cartsail {

class EngineProcessVerifier {
 public:
  // Reads the entry of an engine as the store has it; nothing in the status where there is none.
  using ReadEntry =
      std::function<boost::asio::awaitable<absl::StatusOr<std::optional<EngineEntry>>>(
          std::string id)>;

  EngineProcessVerifier(boost::asio::io_context& io, const BackendRegistry& registry)
      : io_(io), registry_(registry) {}

  // Without one the list of engines is taken for true.
  void SetEntryReader(ReadEntry read) { read_entry_ = std::move(read); }

  // To be called every StallWatch::kInterval.
  void Beat(TimePoint now) { stalls_.Beat(now); }

  // The list of engines was the store's at `then`, as this node reads now.
  void NoteListConfirmed(TimePoint then);
  TimePoint ListConfirmed() const { return list_confirmed_; }

  // The list tells, without a question, that the process to which a connection was made at
  // `connected` is the listed one.
  bool IsListedProcess(const Backend& backend, TimePoint connected) const;

  // The process to which a connection was made at `connected` is of the version that is listed. May
  // wait for the store.
  boost::asio::awaitable<bool> HasListedVersion(Backend backend, TimePoint connected);

  // The list tells that the process which wrote the stream's first event is the recorded one.
  bool IsConfirmed(const StreamRecord& stream) const;

  // The process that wrote the stream's first event is of the recorded version. May wait for the
  // store.
  boost::asio::awaitable<bool> HasRecordedVersion(StreamRecord stream);

 private:
  struct EntryReading {
    bool has_ended = false;
    absl::StatusOr<std::optional<EngineEntry>> entry;
  };

  bool IsListConfirmed(const std::string& id, int64_t started_ms, TimePoint since) const;
  // As the store has it now; an error where it does not tell in time.
  boost::asio::awaitable<absl::StatusOr<std::optional<EngineEntry>>> ReadNow(std::string id);
  boost::asio::awaitable<void> ReadInto(std::string id, std::shared_ptr<EntryReading> reading);

  boost::asio::io_context& io_;
  const BackendRegistry& registry_;
  ReadEntry read_entry_;
  TimePoint list_confirmed_{};
  StallWatch stalls_;
};

}  // namespace cartsail
