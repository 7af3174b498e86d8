#include "peer_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/log.h"
#include "cartsail/base/status.h"
#include "cartsail/net/http_client.h"
#include "document_path.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr size_t kMostDatagramBytes = 1 << 16;
constexpr size_t kMostHostsTold = 16;
constexpr size_t kPeersAtFullRate = 12;  // with more, each hears less often
constexpr Duration kSilentAfter = seconds(2);
constexpr Duration kSilentInterval = seconds(1);  // between digests to a silent one
constexpr Duration kForgottenAfter = seconds(30);
constexpr Duration kFetchTimeout = milliseconds(800);

}  // namespace

PeerExchange::PeerExchange(RelayContext& context, DocumentSink on_document)
    : context_(context), on_document_(std::move(on_document)), socket_(context.io) {}

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
  asio::co_spawn(context_.io, Receive(), asio::detached);
  asio::co_spawn(context_.io, SendPeriodically(), asio::detached);
  return absl::OkStatus();
}

void PeerExchange::AddSeeds(const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) AddHost(host, Now());
}

void PeerExchange::AddHost(const std::string& host, TimePoint now) {
  if (host.empty() || host == context_.options.peer.host) return;
  Peer peer;
  peer.added = now;
  peers_.emplace(host, peer);
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
  const std::optional<NodeDigest> digest = DecodeNodeDigest(bytes);
  if (!digest.has_value() || digest->node == context_.options.node_id) return;
  const TimePoint now = Now();
  AddHost(host, now);
  Peer& peer = peers_[host];
  if (now - peer.heard > kSilentAfter) {
    Log(LogLevel::kInfo, "peer_heard", {{"node", digest->node}, {"host", host}});
  }
  peer.heard = now;
  for (const std::string& other : digest->hosts) AddHost(other, now);
  context_.dispatcher.ApplyDigest(digest->node, digest->dispatch, now);
  if (digest->document_version > context_.routing.Version() && !fetching_) {
    fetching_ = true;
    asio::co_spawn(context_.io, FetchDocument(host), asio::detached);
  } else if (digest->document_version == context_.routing.Version() &&
             digest->confirmed_age.has_value()) {
    context_.routing.ConfirmBy(now - *digest->confirmed_age);
  }
}

asio::awaitable<void> PeerExchange::FetchDocument(std::string host) {
  HttpRequest request;
  request.target = std::string(kDocumentPath);
  const Endpoint endpoint{host, context_.options.peer.port};
  const absl::StatusOr<HttpResponse> response =
      co_await Fetch(context_.io.get_executor(), endpoint, request, kFetchTimeout);
  fetching_ = false;
  if (!response.ok() || response->status != 200) co_return;
  on_document_(response->body, host);
}

asio::awaitable<void> PeerExchange::SendPeriodically() {
  asio::steady_timer timer(context_.io);
  while (true) {
    timer.expires_after(Interval(Now()));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    SendDigests();
  }
}

Duration PeerExchange::Interval(TimePoint now) const {
  const auto live = static_cast<size_t>(context_.dispatcher.LiveNodes(now));
  const size_t steps = std::max<size_t>(1, (live + kPeersAtFullRate - 1) / kPeersAtFullRate);
  return context_.options.digest_interval * static_cast<int64_t>(steps);
}

bool PeerExchange::IsDue(const Peer& peer, TimePoint now) const {
  return now - peer.heard <= kSilentAfter || now - peer.last_sent >= kSilentInterval;
}

NodeDigest PeerExchange::MakeDigest(TimePoint now) {
  NodeDigest digest;
  digest.node = context_.options.node_id;
  digest.document_version = context_.routing.Version();
  if (context_.routing.Confirmed() != TimePoint()) {
    digest.confirmed_age = now - context_.routing.Confirmed();
  }
  digest.dispatch = context_.dispatcher.TakeDigest(now);
  digest.stopping = context_.draining;
  for (const auto& [host, peer] : peers_) {
    if (digest.hosts.size() >= kMostHostsTold) break;
    if (now - peer.heard <= kSilentAfter) digest.hosts.push_back(host);
  }
  return digest;
}

void PeerExchange::SendDigests() {
  const TimePoint now = Now();
  ForgetSilent(now);
  const std::string bytes = EncodeNodeDigest(MakeDigest(now));
  for (auto& [host, peer] : peers_) {
    if (!IsDue(peer, now)) continue;
    peer.last_sent = now;
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error) continue;
    const udp::endpoint target(ip, context_.options.peer.port);
    socket_.send_to(asio::buffer(bytes), target, 0, error);
  }
}

void PeerExchange::ForgetSilent(TimePoint now) {
  std::erase_if(peers_, [now](const auto& entry) {
    const TimePoint last = std::max(entry.second.heard, entry.second.added);
    return now - last > kForgottenAfter;
  });
}

}  // namespace cartsail
