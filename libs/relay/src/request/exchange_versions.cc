// Which version of back ends a stream belongs to, and that it goes on there only.
#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "request/exchange.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// A caller's tries end with the time that it gave the first one; the last one may just begin then.
constexpr Duration kTriesEnd = seconds(1);

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

asio::awaitable<bool> Exchange::FindVersion() {
  const StreamLookup lookup =
      co_await context_.streams.Find(admitted_.profile.service, Stream(), deadline_);
  version_source_ = lookup.source;
  stream_version_ = lookup.version;
  const bool is_known = lookup.source != VersionSource::kNone;
  if (is_known) GlobalCounters().stream_take_ups_known_total.Add();
  co_return is_known;
}

asio::awaitable<bool> Exchange::MayBegin(const Placement& placement) {
  if (!follows_versions_ || !stream_version_.empty()) co_return true;
  const std::string& version = placement.backend.version;
  co_return co_await context_.streams.MayBegin(admitted_.profile.service, version);
}

asio::awaitable<bool> Exchange::IsVersionSure() {
  if (begun_here_.version.empty()) co_return true;
  co_return co_await context_.streams.IsVersionVerified(admitted_.profile.service, begun_here_);
}

asio::awaitable<bool> Exchange::MayGoOnAt(const Placement& placement) {
  if (stream_version_.empty()) co_return true;
  co_return co_await context_.streams.MayContinueAt(placement.backend, upstream_->Connected());
}

asio::awaitable<bool> Exchange::BindVersion(const Placement& placement) {
  if (!follows_versions_ || !stream_version_.empty()) co_return true;
  // Another process may have taken its place since it was chosen.
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
  // Such a stream goes on nowhere: which back ends are of its version is not known.
  is_of_unknown_version_ = version.empty();
  if (is_of_unknown_version_) co_return true;
  stream_version_ = version;
  begun_here_.key = Stream();
  begun_here_.version = version;
  begun_here_.engine = placement.backend.id;
  begun_here_.started_ms = placement.backend.started_ms;
  begun_here_.is_confirmed =
      context_.streams.ProcessVerifier().IsListedProcess(placement.backend, upstream_->Connected());
  begun_here_.begun = Now();
  begun_here_.until = deadline_ + kTriesEnd;
  co_await context_.streams.Note(admitted_.profile.service, begun_here_);
  co_return true;
}

}  // namespace cartsail
