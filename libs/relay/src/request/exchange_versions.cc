// Binds a resumable stream to the back-end version that started it: the stream continues only at
// back ends of that version.
#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "request/exchange.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// A caller retries until the time limit of its first try; its last try may only start then. The
// record of the stream is kept for this much longer.
constexpr Duration kLastAttemptMargin = seconds(1);

}  // namespace

bool Exchange::FollowsVersions() const {
  const RouteRule& route = *admitted_.route;
  return route.kind == RequestKind::kStream && route.resumable &&
         context_.streams.IsVersioned(admitted_.profile.service);
}

StreamKey Exchange::Stream() const {
  const std::string& first = resumes_.empty() ? request_id_ : resumes_;
  return KeyOfStream(admitted_.profile.service, admitted_.tenant, first);
}

asio::awaitable<bool> Exchange::LookUpVersion() {
  const StreamLookup lookup =
      co_await context_.streams.Find(admitted_.profile.service, Stream(), deadline_);
  version_source_ = lookup.source;
  stream_version_ = lookup.version;
  const bool is_known = lookup.source != VersionSource::kNone;
  if (is_known) GlobalCounters().stream_take_ups_known_total.Add();
  co_return is_known;
}

asio::awaitable<bool> Exchange::CanStartAt(const Placement& placement) {
  if (!follows_versions_ || !stream_version_.empty()) co_return true;
  const std::string& version = placement.backend.version;
  co_return co_await context_.streams.MayBegin(admitted_.profile.service, version);
}

asio::awaitable<bool> Exchange::IsVersionConfirmed() {
  if (started_stream_.version.empty()) co_return true;
  co_return co_await context_.streams.IsVersionVerified(admitted_.profile.service, started_stream_);
}

asio::awaitable<bool> Exchange::CanResumeAt(const Placement& placement,
                                            const UpstreamConnection& connection) {
  if (stream_version_.empty()) co_return true;
  co_return co_await context_.streams.MayContinueAt(placement.backend, connection.Connected());
}

asio::awaitable<bool> Exchange::PinVersion(const Placement& placement) {
  if (!follows_versions_ || !stream_version_.empty()) co_return true;
  // Another process may have replaced the back end since it was chosen.
  const Backend* now = context_.dispatcher.Registry().Find(placement.backend.id);
  const std::string& version = placement.backend.version;
  if (now != nullptr && now->version != version) {
    Log(LogLevel::kWarning, "stream_version_unsure",
        {{"request", request_id_},
         {"backend", placement.backend.id},
         {"version", version},
         {"listed", now->version}});
    co_return false;
  }
  // Without a version it is unknown which back ends could continue the stream: none does.
  is_version_unknown_ = version.empty();
  if (is_version_unknown_) co_return true;
  stream_version_ = version;
  started_stream_.key = Stream();
  started_stream_.version = version;
  started_stream_.engine = placement.backend.id;
  started_stream_.started_ms = placement.backend.started_ms;
  started_stream_.is_confirmed =
      context_.streams.ProcessVerifier().IsListedProcess(placement.backend, upstream_->Connected());
  started_stream_.begun = Now();
  started_stream_.until = deadline_ + kLastAttemptMargin;
  co_await context_.streams.Note(admitted_.profile.service, started_stream_);
  co_return true;
}

}  // namespace cartsail
