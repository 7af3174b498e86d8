#include "streams/engine_process_verifier.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/log.h"
#include "cartsail/base/status.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Allowance for the time from an engine's start until its entry is in the store.
constexpr Duration kEntryLag = milliseconds(100);
constexpr Duration kEntryTimeout = milliseconds(300);
constexpr Duration kReadPollInterval = milliseconds(2);

}  // namespace

// What a process reads right after a stall was written earlier, and the ages stated in it have
// grown since, so it confirms nothing.
void EngineProcessVerifier::NoteListConfirmed(TimePoint then) {
  if (stalls_.IsFresh(Now())) list_confirmed_ = std::max(list_confirmed_, then);
}

bool EngineProcessVerifier::IsListConfirmed(const std::string& id, int64_t started_ms,
                                            TimePoint since) const {
  const Backend* listed = registry_.Find(id);
  return listed != nullptr && listed->started_ms == started_ms &&
         list_confirmed_ - kEntryLag >= since;
}

// An engine that states no start time has a new id at each start and refuses what is addressed to
// an earlier process, so its id identifies the process.
bool EngineProcessVerifier::IsListedProcess(const Backend& backend, TimePoint connected) const {
  const bool may_keep_id = backend.started_ms != 0;
  return !may_keep_id || IsListConfirmed(backend.id, backend.started_ms, connected);
}

asio::awaitable<bool> EngineProcessVerifier::HasListedVersion(Backend backend,
                                                              TimePoint connected) {
  if (!read_entry_ || IsListedProcess(backend, connected)) co_return true;
  const absl::StatusOr<std::optional<EngineEntry>> entry = co_await ReadNow(backend.id);
  co_return entry.ok() && entry->has_value() && (*entry)->version == backend.version;
}

bool EngineProcessVerifier::IsConfirmed(const StreamRecord& stream) const {
  return stream.is_confirmed || IsListConfirmed(stream.engine, stream.started_ms, stream.begun);
}

asio::awaitable<bool> EngineProcessVerifier::HasRecordedVersion(StreamRecord stream) {
  if (!read_entry_ || IsConfirmed(stream)) co_return true;
  const absl::StatusOr<std::optional<EngineEntry>> entry = co_await ReadNow(stream.engine);
  co_return entry.ok() && entry->has_value() && BeganStream(**entry, stream);
}

asio::awaitable<void> EngineProcessVerifier::ReadEntryInto(std::string id,
                                                           std::shared_ptr<EntryRead> entry_read) {
  entry_read->entry = co_await read_entry_(std::move(id));
  entry_read->is_done = true;
}

asio::awaitable<absl::StatusOr<std::optional<EngineEntry>>> EngineProcessVerifier::ReadNow(
    std::string id) {
  const TimePoint deadline = Now() + kEntryTimeout;
  auto entry_read = std::make_shared<EntryRead>();
  asio::co_spawn(io_, ReadEntryInto(id, entry_read), asio::detached);
  Timer timer(io_);
  while (!entry_read->is_done && Now() < deadline) {
    timer.expires_after(kReadPollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (entry_read->is_done && entry_read->entry.ok()) co_return entry_read->entry;
  const std::string why = entry_read->is_done
                              ? std::string(entry_read->entry.status().message())
                              : std::string("no answer from the store before the timeout");
  Log(LogLevel::kWarning, "engine_entry_not_read", {{"backend", id}, {"why", why}});
  co_return MakeError(ErrorKind::kPlatformUnavailable, why);
}

}  // namespace cartsail
