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

// From the start of an engine until its entry stands.
constexpr Duration kEntryLag = milliseconds(100);
constexpr Duration kEntryPatience = milliseconds(300);
constexpr Duration kReadPoll = milliseconds(2);

}  // namespace

// What a node reads after it stood still was written before, and ages told in it have grown since.
void EngineProcessVerifier::NoteListConfirmed(TimePoint then) {
  if (stalls_.IsFresh(Now())) list_confirmed_ = std::max(list_confirmed_, then);
}

bool EngineProcessVerifier::IsListConfirmed(const std::string& id, int64_t started_ms,
                                            TimePoint since) const {
  const Backend* listed = registry_.Find(id);
  return listed != nullptr && listed->started_ms == started_ms &&
         list_confirmed_ - kEntryLag >= since;
}

// One that does not tell its start has another id at each of them: it refuses what is meant for the
// process before.
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

asio::awaitable<void> EngineProcessVerifier::ReadInto(std::string id,
                                                      std::shared_ptr<EntryReading> reading) {
  reading->entry = co_await read_entry_(std::move(id));
  reading->has_ended = true;
}

asio::awaitable<absl::StatusOr<std::optional<EngineEntry>>> EngineProcessVerifier::ReadNow(
    std::string id) {
  const TimePoint last = Now() + kEntryPatience;
  auto reading = std::make_shared<EntryReading>();
  asio::co_spawn(io_, ReadInto(id, reading), asio::detached);
  Timer timer(io_);
  while (!reading->has_ended && Now() < last) {
    timer.expires_after(kReadPoll);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (reading->has_ended && reading->entry.ok()) co_return reading->entry;
  const std::string why = reading->has_ended ? std::string(reading->entry.status().message())
                                             : std::string("no answer in time");
  Log(LogLevel::kWarning, "engine_entry_not_read", {{"backend", id}, {"why", why}});
  co_return MakeError(ErrorKind::kPlatformUnavailable, why);
}

}  // namespace cartsail
