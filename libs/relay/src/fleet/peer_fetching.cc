// Fetching of missed store changes from peers.
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_client.h"
#include "catalog/catalog_message.h"
#include "catalog/catalog_path.h"
#include "fleet/peer_exchange.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kFetchTimeout = milliseconds(800);
// Store updates reach all nodes within a few milliseconds. A node that is still behind a peer after
// this time has missed an update and fetches the changes.
constexpr Duration kUpdateGracePeriod = milliseconds(150);
// Time for which a node waits for the changes within its own zone before it asks a node of another
// zone, since traffic between zones is expensive.
constexpr Duration kCrossZoneGracePeriod = milliseconds(600);
// Wait after an update that arrived before its predecessor, which either follows within a few
// milliseconds or is lost. The random spread lets nodes that forward updates fetch the missing one
// before others ask them.
constexpr Duration kGapGracePeriod = milliseconds(60);
constexpr int64_t kGapSpreadMs = 60;
// Retry interval of a fetch that another fetch prevented, since that one may hang. Without retries,
// a node that had asked an unresponsive peer still lacked a change after 0.3 s in 4 of 12 runs.
constexpr Duration kFetchRetry = milliseconds(50);
constexpr int kMaxFetchRetries = 40;
// Uptime from which a node is assumed to have the catalog; it lacks it only if every node does.
constexpr Duration kHasCatalogAfter = seconds(3);

absl::StatusOr<CatalogMessage> CatalogIn(const absl::StatusOr<HttpResponse>& response,
                                         TimePoint now) {
  if (!response.ok()) return response.status();
  if (response->status != 200) {
    return MakeError(ErrorKind::kNotReady,
                     fmt::format("catalog request returned HTTP status {}", response->status));
  }
  if (response->body_end != BodyEnd::kWhole) {
    return MakeError(ErrorKind::kConnectionLost, "catalog response may be truncated");
  }
  std::optional<CatalogMessage> catalog = DecodeCatalog(response->body, now);
  if (!catalog.has_value()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     fmt::format("catalog of {} bytes cannot be decoded", response->body.size()));
  }
  return std::move(*catalog);
}

void NoteFetchFailed(const std::string& host, Duration duration, const absl::Status& why) {
  GlobalCounters().catalog_fetches_failed_total.Add();
  Log(LogLevel::kWarning, "catalog_fetch_failed",
      {{"host", host},
       {"ms", fmt::format("{:.0f}", ToMillis(duration))},
       {"why", std::string(why.message())}});
}

}  // namespace

Duration PeerExchange::UpdateGracePeriod(const std::string& host) const {
  return IsInOtherZone(host) ? kCrossZoneGracePeriod : kUpdateGracePeriod;
}

// Returns true when this node is behind `revision` although there was time to receive it, or to get
// it within its own zone, or when it has no catalog yet.
bool PeerExchange::HasMissedUpdate(const std::string& host, int64_t revision, TimePoint now) {
  const int64_t known = catalog_.Revision();
  if (revision <= known) return false;
  if (known == 0) return true;
  if (newer_revision_ <= known) {
    newer_revision_ = revision;
    newer_revision_since_ = now;
    // A timer is needed because the next message from `host` may be seconds away. When nodes waited
    // for another message with a newer revision, some of 24 nodes that lost every message of a
    // change still lacked it after 3.0 s in 6 of 13 runs; with this timer in none of 15.
    asio::co_spawn(context_.io, FetchAfterView({host, revision}), asio::detached);
  }
  return now - newer_revision_since_ >= UpdateGracePeriod(host);
}

// Fetches the changes before the update in `gap_` unless they arrive.
asio::awaitable<void> PeerExchange::FetchAfterGap() {
  const int64_t spread = std::uniform_int_distribution<int64_t>(0, kGapSpreadMs)(random_);
  const Duration grace_period = kGapGracePeriod + milliseconds(spread);
  co_await FetchIfBehind(*gap_, grace_period);
  gap_.reset();
}

// Fetches what the view of a peer shows to be missing unless it arrives.
asio::awaitable<void> PeerExchange::FetchAfterView(FetchTarget target) {
  co_await FetchIfBehind(target, UpdateGracePeriod(target.host));
}

// Fetches from the host of `target` if this node has not reached its revision after `grace_period`.
// `target` may be replaced meanwhile.
asio::awaitable<void> PeerExchange::FetchIfBehind(const FetchTarget& target,
                                                  Duration grace_period) {
  Timer timer(context_.io, grace_period);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  for (int i = 0; i < kMaxFetchRetries && catalog_.Revision() < target.revision; ++i) {
    const std::string host = target.host;
    if (MaybeFetch(host, context_.routing.Version(), Now())) break;
    timer.expires_after(kFetchRetry);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

bool PeerExchange::MaybeFetch(const std::string& host, int64_t version, TimePoint now) {
  const bool has_newer_document = version > context_.routing.Version();
  if (has_newer_document) catalog_.NoteVersionElsewhere(version, now);
  const bool is_first = catalog_.Revision() == 0;
  std::string source = host;
  // A starting node hears the seeds first. If all nodes fetched from the seeds, a restart of the
  // fleet would overload them. If the chosen node lacks the catalog, the next fetch goes to `host`.
  if (is_first && !tried_near_source_) source = NearSource(now).value_or(host);
  if (!fetches_.MayBegin(source, has_newer_document || is_first, now)) return false;
  tried_near_source_ = true;
  asio::co_spawn(context_.io, FetchCatalog(source, fetches_.Begin(source, now)), asio::detached);
  return true;
}

// Returns a random node of this zone that is likely to have a catalog; empty when there is none.
std::optional<std::string> PeerExchange::NearSource(TimePoint now) {
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : peers_.Peers()) {
    const bool is_near = peer.status == PeerStatus::kAlive && !IsInOtherZone(host);
    const Duration uptime = peer.state.uptime + (now - peer.noted);
    if (is_near && uptime >= kHasCatalogAfter) hosts.push_back(host);
  }
  if (hosts.empty()) return std::nullopt;
  return hosts[std::uniform_int_distribution<size_t>(0, hosts.size() - 1)(random_)];
}

asio::awaitable<void> PeerExchange::FetchCatalog(std::string host, FetchSchedule::Running fetch) {
  HttpRequest request;
  request.target = fmt::format("{}?{}={}&{}={}", kCatalogPath, kHaveParameter,
                               context_.routing.Version(), kSinceParameter, catalog_.Revision());
  const Endpoint endpoint{host, context_.options.peer.port};
  const absl::StatusOr<HttpResponse> response =
      co_await Fetch(context_.io.get_executor(), endpoint, request, kFetchTimeout);
  const TimePoint ended = Now();
  const Duration duration = ended - fetch->begun;
  fetches_.End(fetch, ended);
  GlobalCounters().catalog_fetches_total.Add();
  GlobalHistograms().catalog_fetch_ms.Note(duration);
  const absl::StatusOr<CatalogMessage> catalog = CatalogIn(response, ended);
  if (!catalog.ok()) {
    NoteFetchFailed(host, duration, catalog.status());
    co_return;
  }
  catalog_.ApplyCatalog(*catalog, host);
  context_.WakeWaiting(ended);
}

}  // namespace cartsail
