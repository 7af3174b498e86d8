#include "fleet/peer_exchange.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_client.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr size_t kMaxDatagramBytes = 1 << 16;
// Then others get their turn; at 50 us each, that is after 3 ms.
constexpr int kMaxDatagramsAtOnce = 64;
constexpr size_t kDatagramOverhead = 28;   // IP and UDP headers
constexpr size_t kDigestCoordinators = 2;  // coordinators per service that get digests
constexpr int kLifetimeIntervals = 4;      // validity of a peer's digest, in digest intervals
constexpr Duration kMinLifetime = seconds(1);
constexpr Duration kMaxDigestInterval = seconds(2);
// Mean spacing of the digests that one coordinator receives from all nodes: 200 per second,
// independent of the fleet's size.
constexpr Duration kDigestSpacing = milliseconds(5);
// Keeps a notice with its patch within one 1,500-byte packet. Patches of typical changes have about
// 0.1 KB; for a larger patch only the version is announced, and peers fetch the document.
constexpr size_t kMaxNoticePatchBytes = 1100;
constexpr Duration kMemberLogInterval = seconds(1);

Counter& BytesCounterOf(const Datagram& datagram) {
  Counters& counters = GlobalCounters();
  if (std::holds_alternative<GossipMessage>(datagram)) return counters.peer_gossip_bytes_sent_total;
  if (std::holds_alternative<NodeDigest>(datagram)) return counters.peer_digest_bytes_sent_total;
  if (std::holds_alternative<DocumentNotice>(datagram)) {
    return counters.peer_document_bytes_sent_total;
  }
  if (std::holds_alternative<StoreUpdate>(datagram)) return counters.peer_update_bytes_sent_total;
  return counters.peer_placement_bytes_sent_total;
}

void CountSent(const Datagram& datagram, int64_t bytes, bool is_far) {
  Counters& counters = GlobalCounters();
  counters.peer_messages_sent_total.Add();
  counters.peer_bytes_sent_total.Add(bytes);
  if (is_far) counters.peer_far_bytes_sent_total.Add(bytes);
  BytesCounterOf(datagram).Add(bytes);
}

bool IsQuestion(GossipKind kind) {
  return kind == GossipKind::kPing || kind == GossipKind::kPingRequest;
}

// Adds the time that a message may have waited to be read to the ages that it states.
void AddWait(Duration waited, Datagram* datagram) {
  if (auto* update = std::get_if<StoreUpdate>(datagram)) {
    update->confirmed_age += waited;
    if (update->list_age.has_value()) *update->list_age += waited;
  }
  if (auto* gossip = std::get_if<GossipMessage>(datagram)) {
    StoreView& view = gossip->view;
    if (view.confirmed_age.has_value()) *view.confirmed_age += waited;
    if (view.list_age.has_value()) *view.list_age += waited;
  }
}

// Seconds since the epoch: increases across restarts of a host as long as its clock does.
uint32_t FirstIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count());
}

}  // namespace

PeerExchange::PeerExchange(RelayContext& context, CatalogSync& catalog)
    : context_(context),
      peers_(context.peers),
      catalog_(catalog),
      socket_(context.io),
      receive_buffer_(kMaxDatagramBytes, '\0'),
      random_(std::random_device{}()),
      gossip_(context.peers, context.options.peer.host, FirstIncarnation(), random_()),
      digest_interval_(context.options.digest_interval),
      announcer_(context.options.node_id) {}

absl::Status PeerExchange::Start() {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(context_.options.peer.host, error);
  if (error) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        fmt::format("peer address {} is not an IP address", context_.options.peer.host));
  }
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
  context_.placement.SetTransport(
      {[this](const std::string& host, const Datagram& datagram) { (void)Send(host, datagram); },
       [this](const std::string& host) { SendDigestTo(host); }});
  context_.usage.SetTransport(
      {[this](const std::string& host, const UsageShares& shares) { (void)Send(host, shares); },
       [this](const std::string& host, const UsageReceipt& receipt) {
         (void)Send(host, receipt);
       }});
  context_.quarantine.SetTransport(
      {[this](const std::string& host, const StrikeReport& report) { (void)Send(host, report); },
       [this](const std::string& host, const QuarantineNotice& notice) {
         (void)Send(host, notice);
       },
       [this](const QuarantineNotice& notice) {
         const std::vector<LivePeer> live = peers_.LivePeers();
         SendAlong(notice, BranchesByZone(live, context_.options.zone, random_));
       },
       [this](const std::string& host, const PartStrikes& strikes) { (void)Send(host, strikes); },
       [this](const std::string& host, const PartCompletions& completions) {
         (void)Send(host, completions);
       },
       [this](const PartInquiry& inquiry) {
         const std::vector<LivePeer> live = peers_.LivePeers();
         SendAlong(inquiry, BranchesByZone(live, context_.options.zone, random_));
       }});
  context_.retries.SetTransport(
      [this](const std::string& host, const Datagram& datagram) { (void)Send(host, datagram); });
  context_.streams.SetTransport(
      [this](const std::string& host, const Datagram& datagram) { (void)Send(host, datagram); });
  catalog_.SetOnDocument([this] {
    if (announcing_) return;  // the running announcement picks up the newest document
    announcing_ = true;
    asio::co_spawn(context_.io, AnnounceDocument(), asio::detached);
  });
  catalog_.SetOnUpdate([this](StoreUpdate update) {
    const std::vector<LivePeer> live = peers_.LivePeers();
    Spread(std::move(update), BranchesByZone(live, context_.options.zone, random_));
  });
  asio::co_spawn(context_.io, Receive(), asio::detached);
  asio::co_spawn(context_.io, GossipPeriodically(), asio::detached);
  asio::co_spawn(context_.io, SendDigestsPeriodically(), asio::detached);
  if (context_.options.duties.reports_usage) {
    asio::co_spawn(context_.io, TickUsagePeriodically(), asio::detached);
  }
  return absl::OkStatus();
}

void PeerExchange::AddSeeds(const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) {
    if (host != context_.options.peer.host) peers_.AddHost(host, Now());
  }
}

asio::awaitable<void> PeerExchange::Receive() {
  while (true) {
    boost::system::error_code error;
    co_await socket_.async_wait(udp::socket::wait_read,
                                asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    ReadWaiting();
  }
}

// Reads the datagrams that wait, so that news is not delayed by the requests that wait beside it.
void PeerExchange::ReadWaiting() {
  for (int i = 0; i < kMaxDatagramsAtOnce; ++i) {
    const TimePoint begun = Now();
    udp::endpoint sender;
    boost::system::error_code error;
    const size_t bytes = socket_.receive_from(asio::buffer(receive_buffer_), sender, 0, error);
    if (error == asio::error::would_block) {
      NoteAllRead(begun);
      return;
    }
    if (error) continue;
    OnDatagram(sender.address().to_string(), std::string_view(receive_buffer_).substr(0, bytes));
  }
}

void PeerExchange::NoteAllRead(TimePoint now) {
  all_read_ = now;
  context_.verification.NoteAllRead(now);
  context_.WakeWaiting(now);
}

void PeerExchange::OnDatagram(const std::string& host, std::string_view bytes) {
  GlobalCounters().peer_bytes_received_total.Add(static_cast<int64_t>(bytes.size()));
  const TimePoint now = Now();
  const Duration waited = now - all_read_;
  GlobalHistograms().peer_datagram_wait_ms.Note(waited);
  std::optional<Datagram> datagram = DecodeDatagram(bytes, now);
  if (!datagram.has_value()) {
    GlobalCounters().peer_messages_invalid_total.Add();
    return;
  }
  AddWait(waited, &*datagram);
  if (const auto* digest = std::get_if<NodeDigest>(&*datagram)) OnDigest(host, *digest);
  if (const auto* question = std::get_if<PlacementQuestion>(&*datagram)) {
    context_.placement.OnQuestion(host, *question, now);
  }
  if (const auto* answer = std::get_if<PlacementAnswer>(&*datagram)) {
    context_.placement.OnAnswer(host, *answer);
  }
  if (const auto* report = std::get_if<ProgressReport>(&*datagram)) {
    context_.placement.OnProgress(host, *report, now);
  }
  if (const auto* notice = std::get_if<DocumentNotice>(&*datagram)) OnNotice(host, *notice);
  if (const auto* gossip = std::get_if<GossipMessage>(&*datagram)) OnGossip(host, *gossip);
  if (const auto* update = std::get_if<StoreUpdate>(&*datagram)) OnUpdate(host, *update);
  if (const auto* shares = std::get_if<UsageShares>(&*datagram)) {
    context_.usage.OnShares(host, *shares, now);
  }
  if (const auto* receipt = std::get_if<UsageReceipt>(&*datagram)) {
    context_.usage.OnReceipt(host, *receipt);
  }
  if (const auto* report = std::get_if<StrikeReport>(&*datagram)) {
    context_.quarantine.OnStrikes(*report);
  }
  if (const auto* notice = std::get_if<QuarantineNotice>(&*datagram)) OnQuarantine(*notice, now);
  if (const auto* strikes = std::get_if<PartStrikes>(&*datagram)) {
    context_.quarantine.Parts().OnStrikes(*strikes);
  }
  if (const auto* inquiry = std::get_if<PartInquiry>(&*datagram)) {
    SendAlong(*inquiry, Branches(inquiry->targets));
    context_.quarantine.Parts().OnInquiry(*inquiry, now);
  }
  if (const auto* completions = std::get_if<PartCompletions>(&*datagram)) {
    context_.quarantine.Parts().OnCompletions(*completions, now);
  }
  if (const auto* question = std::get_if<RepeatQuestion>(&*datagram)) {
    context_.retries.OnQuestion(host, *question);
  }
  if (const auto* answer = std::get_if<RepeatAnswer>(&*datagram)) {
    context_.retries.OnAnswer(host, *answer);
  }
  if (const auto* question = std::get_if<StreamQuestion>(&*datagram)) {
    context_.streams.OnQuestion(host, *question);
  }
  if (const auto* answer = std::get_if<StreamAnswer>(&*datagram)) {
    context_.streams.OnAnswer(host, *answer);
  }
}

template <typename Message>
void PeerExchange::SendAlong(Message message, const std::vector<UpdateBranch>& branches) {
  for (const UpdateBranch& branch : branches) {
    message.targets = branch.targets;
    (void)Send(branch.host, message);
  }
}

void PeerExchange::OnQuarantine(const QuarantineNotice& notice, TimePoint now) {
  SendAlong(notice, Branches(notice.targets));
  context_.quarantine.OnNotice(notice, now);
}

StoreView PeerExchange::View(TimePoint now) const {
  StoreView view;
  view.catalog_revision = catalog_.Revision();
  view.document_version = context_.routing.Version();
  const TimePoint confirmed = context_.routing.Confirmed();
  if (confirmed != TimePoint()) view.confirmed_age = now - confirmed;
  const TimePoint list_confirmed = context_.backend_list.confirmed;
  if (list_confirmed != TimePoint()) view.list_age = now - list_confirmed;
  return view;
}

// `now`: not later than any of them is sent.
void PeerExchange::SendAll(std::vector<AddressedGossip> messages, TimePoint now) {
  for (AddressedGossip& message : messages) {
    message.message.wall = WallNow();
    if (IsQuestion(message.message.kind)) {
      context_.verification.NoteAsked(message.message.sequence, now);
    }
    (void)Send(message.host, message.message);
  }
}

asio::awaitable<void> PeerExchange::GossipPeriodically() {
  Timer timer(context_.io);
  while (true) {
    const TimePoint now = Now();
    ReadWaiting();
    const Duration stood_still = context_.standstill.Beat(now);
    if (stood_still > Duration(0)) NoteStandstill(stood_still);
    SendAll(gossip_.Tick(now, View(now)), now);
    AskIfUnverified(now);
    catalog_.NotePeersHeard(gossip_.LastHeard());
    peers_.ForgetSilent(now);
    LogMemberChanges(now);
    timer.expires_after(PeerGossip::kTick);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void PeerExchange::NoteStandstill(Duration length) {
  GlobalCounters().standstills_total.Add();
  Log(LogLevel::kWarning, "stood_still",
      {{"ms", fmt::format("{:.0f}", ToMillis(length))},
       {"revision", std::to_string(catalog_.Revision())}});
}

// Asks some peers what they know, so that requests need not wait for the regular questions.
void PeerExchange::AskIfUnverified(TimePoint now) {
  context_.UpdateVerification(now);
  if (!context_.verification.ShouldAsk(now)) return;
  context_.verification.NoteSomeAsked(now);
  SendAll(gossip_.AskSome(PeerVerification::kPeersAsked, now, View(now)), now);
}

// Logs membership changes at most once per kMemberLogInterval: when a fleet starts, each node
// learns of all others.
void PeerExchange::LogMemberChanges(TimePoint now) {
  if (now - members_logged_ < kMemberLogInterval) return;
  const PeerGossip::Changes changes = gossip_.TakeChanges();
  if (changes.joined == 0 && changes.left == 0) return;
  members_logged_ = now;
  Log(LogLevel::kInfo, "members_changed",
      {{"joined", std::to_string(changes.joined)},
       {"left", std::to_string(changes.left)},
       {"live", std::to_string(peers_.LiveCount() + 1)},
       {"some", fmt::format("{}", fmt::join(changes.some, ","))}});
}

void PeerExchange::OnGossip(const std::string& host, const GossipMessage& message) {
  const TimePoint now = Now();
  SendAll(gossip_.OnMessage(host, message, now, View(now)), now);
  catalog_.NotePeersHeard(gossip_.LastHeard());
  context_.usage.Clock().AddPeerReading(host, message.wall, now);
  if (message.kind == GossipKind::kAck) OnAnswer(host, message, now);
  OnView(host, message.view, now);
}

bool PeerExchange::IsInOtherZone(const std::string& host) const {
  return peers_.ZoneOf(host) != context_.options.zone;
}

void PeerExchange::OnView(const std::string& host, const StoreView& view, TimePoint now) {
  const int64_t version = context_.routing.Version();
  if (view.document_version == version && view.confirmed_age.has_value()) {
    catalog_.ConfirmByPeer(now - *view.confirmed_age, now);
  }
  std::optional<TimePoint> list_confirmed;
  if (view.list_age.has_value()) list_confirmed = now - *view.list_age;
  catalog_.NoteListElsewhere(view.catalog_revision, list_confirmed, now);
  if (view.document_version > version || HasMissedUpdate(host, view.catalog_revision, now)) {
    (void)MaybeFetch(host, view.document_version, now);
  }
}

void PeerExchange::OnAnswer(const std::string& host, const GossipMessage& answer, TimePoint now) {
  const auto asked = context_.verification.NoteAnswer(host, answer.sequence, answer.view);
  if (asked.has_value() && context_.MustWaitForNews(now)) FetchMissed(host, answer.view, now);
}

// Does not wait for updates that may be on their way: requests wait meanwhile.
void PeerExchange::FetchMissed(const std::string& host, const StoreView& view, TimePoint now) {
  const bool has_newer_list = view.catalog_revision > catalog_.Revision();
  const bool has_newer_document = view.document_version > context_.routing.Version();
  if (has_newer_list || has_newer_document) (void)MaybeFetch(host, view.document_version, now);
}

void PeerExchange::Spread(StoreUpdate update, const std::vector<UpdateBranch>& branches) {
  for (const UpdateBranch& branch : branches) {
    update.targets = branch.targets;
    (void)Send(branch.host, update);
  }
}

void PeerExchange::OnUpdate(const std::string& host, const StoreUpdate& update) {
  Spread(update, Branches(update.targets));
  if (catalog_.ApplyUpdate(update, host)) return;
  const bool has_newer_document = update.document_version > context_.routing.Version();
  // The first node of a zone gets updates from the store reader in another zone and passes on what
  // it fetches, so it does not wait.
  if (has_newer_document || catalog_.Revision() == 0 || IsInOtherZone(host)) {
    (void)MaybeFetch(host, update.document_version, Now());
    return;
  }
  const FetchTarget target{host, update.changes.revision};
  if (gap_.has_value()) {
    // The fetch that is scheduled may wait for a node that does not answer.
    if (target.revision > gap_->revision) *gap_ = target;
    return;
  }
  gap_ = target;
  asio::co_spawn(context_.io, FetchAfterGap(), asio::detached);
}

DocumentNotice PeerExchange::MakeNotice(TimePoint now) const {
  DocumentNotice notice;
  notice.version = context_.routing.Version();
  notice.age = now - context_.routing.KnownSince();
  const DocumentPatch& patch = catalog_.LatestPatch();
  if (patch.bytes.size() <= kMaxNoticePatchBytes) notice.patch = patch;
  return notice;
}

// Announces a new version by notices, since gossip alone would take 1 to 2 s to reach all nodes:
// more than half of the time within which a change must be in force everywhere.
asio::awaitable<void> PeerExchange::AnnounceDocument() {
  Timer timer(context_.io);
  while (true) {
    const TimePoint now = Now();
    const int64_t version = context_.routing.Version();
    const std::vector<std::string> hosts =
        announcer_.NextRound(version, peers_.PeersBehind(version), context_.options.zone);
    if (hosts.empty()) break;
    const DocumentNotice notice = MakeNotice(now);
    for (const std::string& host : hosts) (void)Send(host, notice);
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
  const bool knows_no_backends = catalog_.Revision() == 0;
  if (notice.version > context_.routing.Version() || knows_no_backends) {
    (void)MaybeFetch(host, notice.version, Now());
  }
  if (notice.is_answer) return;
  DocumentNotice answer = MakeNotice(Now());
  answer.is_answer = true;
  if (answer.version <= notice.version) answer.patch = {};
  (void)Send(host, answer);
}

void PeerExchange::OnDigest(const std::string& host, const NodeDigest& digest) {
  if (digest.node == context_.options.node_id) return;
  const TimePoint now = Now();
  context_.placement.OnLiveQuestions(host, digest.live_questions, now);
  const Duration lifetime = std::max<Duration>(kMinLifetime, kLifetimeIntervals * digest.interval);
  context_.dispatcher.ApplyDigest(digest.node, digest.dispatch, lifetime, now);
}

asio::awaitable<void> PeerExchange::SendDigestsPeriodically() {
  Timer timer(context_.io);
  while (true) {
    SendDigests();
    timer.expires_after(digest_interval_);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> PeerExchange::TickUsagePeriodically() {
  Timer timer(context_.io);
  while (true) {
    context_.usage.Tick(Now(), WallNow());
    timer.expires_after(UsageCounting::kTick);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

NodeDigest PeerExchange::MakeDigest(TimePoint now) {
  NodeDigest digest;
  digest.node = context_.options.node_id;
  digest.interval = digest_interval_;
  digest.dispatch = context_.dispatcher.TakeDigest(now);
  return digest;
}

// Leaves out the load that `coordinator` placed, since it tracks that itself.
NodeDigest PeerExchange::DigestFor(const std::string& coordinator, NodeDigest digest,
                                   TimePoint now) const {
  digest.dispatch.loads = context_.dispatcher.LoadsFor(coordinator, now);
  digest.live_questions = context_.placement.LiveQuestions(coordinator);
  return digest;
}

void PeerExchange::SendDigestTo(const std::string& host) {
  const TimePoint now = Now();
  NodeDigest digest = MakeDigest(now);
  // The other coordinators have not received these prefixes yet.
  context_.dispatcher.RequeuePrefixes(digest.dispatch.prefixes);
  (void)Send(host, DigestFor(host, std::move(digest), now));
}

// Returns the number of bytes sent, including IP and UDP headers; 0 when `host` is not an IP
// address. Send errors are ignored.
size_t PeerExchange::Send(const std::string& host, const Datagram& datagram) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(host, error);
  if (error) return 0;
  const std::string bytes = EncodeDatagram(datagram, Now());
  const udp::endpoint target(ip, context_.options.peer.port);
  socket_.send_to(asio::buffer(bytes), target, 0, error);
  const size_t sent = bytes.size() + kDatagramOverhead;
  CountSent(datagram, static_cast<int64_t>(sent), IsInOtherZone(host));
  return sent;
}

// Hosts of the current and next coordinators: only they need loads and prefixes.
std::set<std::string> PeerExchange::Coordinators(TimePoint now) const {
  std::set<std::string> hosts;
  for (const std::string& host : context_.dispatcher.Coordinators()) hosts.insert(host);
  if (context_.routing.Table() == nullptr) return hosts;
  for (const ServiceRule& service : context_.routing.Table()->Document().services) {
    const auto ranked = peers_.RankCoordinators(service.name, kDigestCoordinators, now);
    hosts.insert(ranked.begin(), ranked.end());
  }
  hosts.erase("");  // this node
  return hosts;
}

void PeerExchange::SendDigests() {
  const TimePoint now = Now();
  const NodeDigest digest = MakeDigest(now);
  size_t sent_bytes = 0;
  for (const std::string& host : Coordinators(now)) {
    sent_bytes += Send(host, DigestFor(host, digest, now));
  }
  // Delays the next digests so that these stay within the byte rate limit, and so that coordinators
  // receive the digests of all nodes at the intended spacing.
  const double min_interval_s =
      static_cast<double>(sent_bytes) / context_.options.digest_bytes_per_s;
  const Duration spaced = static_cast<int64_t>(peers_.LiveCount()) * kDigestSpacing;
  digest_interval_ = std::clamp<Duration>(std::max<Duration>(FromSeconds(min_interval_s), spaced),
                                          context_.options.digest_interval, kMaxDigestInterval);
}

}  // namespace cartsail
