#include "peer_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/net/http_client.h"
#include "catalog_message.h"
#include "catalog_path.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr size_t kMostDatagramBytes = 1 << 16;
constexpr size_t kDatagramOverhead = 28;  // IP and UDP headers
constexpr size_t kCoordinatorsTold = 2;   // of a service
constexpr size_t kHostsToldAtFirst = 64;  // to a node that was not heard before
constexpr size_t kHostsTold = 3;          // in one digest
constexpr int kLifetimeIntervals = 4;     // that a peer's load holds
constexpr Duration kLeastLifetime = seconds(1);
constexpr Duration kLongestInterval = seconds(2);
constexpr Duration kSilentInterval = seconds(1);  // between digests to a silent host
constexpr Duration kSilentIntervalWhenYoung = milliseconds(150);
constexpr Duration kYoungUptime = seconds(4);
constexpr Duration kFetchTimeout = milliseconds(800);
// A notice with its patch stays within one packet of 1,500 bytes. Patches of usual changes have
// about 0.1 KB; of a larger one only the version is told, and peers fetch it.
constexpr size_t kMostPatchBytesTold = 1100;

absl::StatusOr<CatalogMessage> CatalogIn(const absl::StatusOr<HttpResponse>& response,
                                         TimePoint now) {
  if (!response.ok()) return response.status();
  if (response->status != 200) {
    return MakeError(ErrorKind::kNotReady, fmt::format("status {}", response->status));
  }
  std::optional<CatalogMessage> catalog = DecodeCatalog(response->body, now);
  if (!catalog.has_value()) return MakeError(ErrorKind::kInvalidArgument, "no catalog");
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

PeerExchange::PeerExchange(RelayContext& context, CatalogSync& catalog)
    : context_(context),
      peers_(context.peers),
      catalog_(catalog),
      socket_(context.io),
      interval_(context.options.digest_interval),
      announcer_(context.options.node_id) {}

absl::Status PeerExchange::Start() {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(context_.options.peer.host, error);
  if (error) return MakeError(ErrorKind::kInvalidArgument, "peer: not an IP number");
  const udp::endpoint endpoint(ip, context_.options.peer.port);
  socket_.open(endpoint.protocol(), error);
  if (!error) socket_.bind(endpoint, error);
  if (error) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        fmt::format("cannot bind {}: {}", context_.options.peer.ToString(), error.message()));
  }
  socket_.non_blocking(true, error);
  AddSeeds(context_.options.seeds);
  context_.placement.SetTransport({[this](const std::string& host, const Datagram& datagram) {
                                     (void)Send(host, EncodeDatagram(datagram));
                                   },
                                   [this](const std::string& host) { Announce(host); }});
  catalog_.SetOnDocument([this] {
    if (announcing_) return;  // goes on with the newest document
    announcing_ = true;
    asio::co_spawn(context_.io, AnnounceDocument(), asio::detached);
  });
  asio::co_spawn(context_.io, Receive(), asio::detached);
  asio::co_spawn(context_.io, SendPeriodically(), asio::detached);
  return absl::OkStatus();
}

void PeerExchange::AddSeeds(const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) {
    if (host != context_.options.peer.host) peers_.AddHost(host, Now());
  }
}

asio::awaitable<void> PeerExchange::Receive() {
  std::string buffer(kMostDatagramBytes, '\0');
  while (true) {
    udp::endpoint sender;
    boost::system::error_code error;
    const size_t bytes = co_await socket_.async_receive_from(
        asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    OnDatagram(sender.address().to_string(), std::string_view(buffer).substr(0, bytes));
  }
}

void PeerExchange::OnDatagram(const std::string& host, std::string_view bytes) {
  GlobalCounters().peer_bytes_received_total.Add(static_cast<int64_t>(bytes.size()));
  const std::optional<Datagram> datagram = DecodeDatagram(bytes);
  if (!datagram.has_value()) return;
  if (const auto* digest = std::get_if<NodeDigest>(&*datagram)) OnDigest(host, *digest);
  if (const auto* question = std::get_if<PlacementQuestion>(&*datagram)) {
    context_.placement.OnQuestion(host, *question, Now());
  }
  if (const auto* answer = std::get_if<PlacementAnswer>(&*datagram)) {
    context_.placement.OnAnswer(host, *answer);
  }
  if (const auto* report = std::get_if<ProgressReport>(&*datagram)) {
    context_.placement.OnProgress(host, *report, Now());
  }
  if (const auto* notice = std::get_if<DocumentNotice>(&*datagram)) OnNotice(host, *notice);
}

DocumentNotice PeerExchange::MakeNotice(TimePoint now) const {
  DocumentNotice notice;
  notice.version = context_.routing.Version();
  notice.age = now - context_.routing.KnownSince();
  const DocumentPatch& patch = catalog_.LatestPatch();
  if (patch.bytes.size() <= kMostPatchBytesTold) notice.patch = patch;
  return notice;
}

// The first notices go out before a digest could: an interval of digests is up to
// kLongestInterval, more than half of the time in which a change has to be in force everywhere.
asio::awaitable<void> PeerExchange::AnnounceDocument() {
  asio::steady_timer timer(context_.io);
  while (true) {
    const TimePoint now = Now();
    const int64_t version = context_.routing.Version();
    const std::vector<std::string> hosts =
        announcer_.NextRound(version, peers_.HostsBehind(version, now));
    if (hosts.empty()) break;
    const std::string bytes = EncodeDatagram(MakeNotice(now));
    for (const std::string& host : hosts) announced_bytes_ += Send(host, bytes);
    timer.expires_after(DocumentAnnouncer::kRoundInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  announcing_ = false;
}

void PeerExchange::OnNotice(const std::string& host, const DocumentNotice& notice) {
  peers_.NoteDocument(host, notice.version);
  if (notice.version > context_.routing.Version() && !notice.patch.bytes.empty()) {
    catalog_.ApplyPatch(notice.patch, host, notice.age);
  }
  if (notice.version > context_.routing.Version()) MaybeFetch(host, notice.version, Now());
  if (notice.is_answer) return;
  DocumentNotice answer = MakeNotice(Now());
  answer.is_answer = true;
  if (answer.version <= notice.version) answer.patch = {};
  announced_bytes_ += Send(host, EncodeDatagram(answer));
}

void PeerExchange::OnDigest(const std::string& host, const NodeDigest& digest) {
  if (digest.node == context_.options.node_id) return;
  const TimePoint now = Now();
  const NodeState state{digest.node,   digest.zone,     digest.stopping,        digest.capacity,
                        digest.uptime, digest.interval, digest.document_version};
  if (peers_.Heard(host, state, now)) {
    Log(LogLevel::kInfo, "peer_heard", {{"node", digest.node}, {"host", host}});
    Announce(host);
  }
  if (digest.live_questions.has_value()) {
    context_.placement.OnLiveQuestions(host, *digest.live_questions, now);
  }
  AddSeeds(digest.hosts);
  const Duration lifetime =
      std::max<Duration>(kLeastLifetime, kLifetimeIntervals * digest.interval);
  context_.dispatcher.ApplyDigest(digest.node, digest.dispatch, lifetime, now);
  if (digest.document_version == context_.routing.Version() && digest.confirmed_age.has_value()) {
    catalog_.ConfirmByPeer(now - *digest.confirmed_age, now);
  }
  const bool has_newer_document = digest.document_version > context_.routing.Version();
  if (has_newer_document || digest.catalog_revision > catalog_.Revision()) {
    MaybeFetch(host, digest.document_version, now);
  }
}

// `version`: of the document at `host`.
void PeerExchange::MaybeFetch(const std::string& host, int64_t version, TimePoint now) {
  const bool has_newer_document = version > context_.routing.Version();
  if (has_newer_document) catalog_.NoteVersionElsewhere(version, now);
  if (!fetches_.MayBegin(host, has_newer_document, now)) return;
  asio::co_spawn(context_.io, FetchCatalog(host, fetches_.Begin(host, now)), asio::detached);
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
}

asio::awaitable<void> PeerExchange::SendPeriodically() {
  SendDigests();
  asio::steady_timer timer(context_.io);
  while (true) {
    timer.expires_after(interval_);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    SendDigests();
  }
}

// A node that just started calls silent hosts more often: they may be starting as well.
bool PeerExchange::IsDue(const PeerRecord& peer, TimePoint now) const {
  if (peers_.IsLive(peer, now)) return true;
  const bool young = peers_.Self(now).uptime < kYoungUptime;
  return now - peer.last_sent >= (young ? kSilentIntervalWhenYoung : kSilentInterval);
}

NodeDigest PeerExchange::MakeDigest(TimePoint now) {
  const NodeState self = peers_.Self(now);
  NodeDigest digest;
  digest.node = self.node;
  digest.zone = self.zone;
  digest.stopping = self.stopping;
  digest.capacity = self.capacity;
  digest.uptime = self.uptime;
  digest.catalog_revision = catalog_.Revision();
  digest.document_version = context_.routing.Version();
  if (context_.routing.Confirmed() != TimePoint()) {
    digest.confirmed_age = now - context_.routing.Confirmed();
  }
  digest.interval = interval_;
  digest.dispatch = context_.dispatcher.TakeDigest(now);
  digest.hosts = peers_.SomeLiveHosts(kHostsTold, now);
  return digest;
}

// What a coordinator placed it follows itself.
NodeDigest PeerExchange::DigestFor(const std::string& coordinator, NodeDigest digest,
                                   TimePoint now) const {
  digest.dispatch.loads = context_.dispatcher.LoadsFor(coordinator, now);
  digest.live_questions = context_.placement.LiveQuestions(coordinator);
  return digest;
}

void PeerExchange::Announce(const std::string& host) {
  const TimePoint now = Now();
  NodeDigest digest = MakeDigest(now);
  digest.hosts = peers_.SomeLiveHosts(kHostsToldAtFirst, now);
  // The other peers are still to be told of these prefixes.
  context_.dispatcher.TellAgain(digest.dispatch.prefixes);
  (void)Send(host, EncodeDatagram(DigestFor(host, std::move(digest), now)));
}

// Returns the bytes that went out.
size_t PeerExchange::Send(const std::string& host, const std::string& bytes) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(host, error);
  if (error) return 0;
  const udp::endpoint target(ip, context_.options.peer.port);
  socket_.send_to(asio::buffer(bytes), target, 0, error);
  const size_t sent = bytes.size() + kDatagramOverhead;
  GlobalCounters().peer_messages_sent_total.Add();
  GlobalCounters().peer_bytes_sent_total.Add(static_cast<int64_t>(sent));
  return sent;
}

// The nodes that place requests or would do so next: only they need to know loads and prefixes.
std::set<std::string> PeerExchange::Coordinators(TimePoint now) const {
  std::set<std::string> hosts;
  for (const std::string& host : context_.dispatcher.Coordinators()) hosts.insert(host);
  if (context_.routing.Table() == nullptr) return hosts;
  for (const ServiceRule& service : context_.routing.Table()->Document().services) {
    const auto ranked = peers_.RankCoordinators(service.name, kCoordinatorsTold, now);
    hosts.insert(ranked.begin(), ranked.end());
  }
  hosts.erase("");  // this node
  return hosts;
}

void PeerExchange::SendDigests() {
  const TimePoint now = Now();
  peers_.ForgetSilent(now);
  NodeDigest digest = MakeDigest(now);
  std::map<std::string, std::string> for_coordinators;
  for (const std::string& host : Coordinators(now)) {
    for_coordinators[host] = EncodeDatagram(DigestFor(host, digest, now));
  }
  digest.dispatch.loads.clear();
  digest.dispatch.prefixes.clear();
  digest.dispatch.work.clear();
  const std::string for_all = EncodeDatagram(digest);
  size_t sent_bytes = std::exchange(announced_bytes_, 0);
  for (auto& [host, peer] : peers_.Peers()) {
    if (!IsDue(peer, now)) continue;
    peer.last_sent = now;
    const auto special = for_coordinators.find(host);
    sent_bytes += Send(host, special == for_coordinators.end() ? for_all : special->second);
  }
  // The next digests wait until these fit the bytes that may be sent.
  const double paid_s = static_cast<double>(sent_bytes) / context_.options.digest_bytes_per_s;
  interval_ =
      std::clamp<Duration>(FromSeconds(paid_s), context_.options.digest_interval, kLongestInterval);
}

}  // namespace cartsail
