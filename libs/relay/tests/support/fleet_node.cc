#include "fleet_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>

#include "cartsail/base/timer.h"
#include "catalog/catalog_message.h"
#include "catalog/catalog_path.h"

namespace cartsail::testing {
namespace {

namespace asio = boost::asio;

constexpr uint16_t kPeerPort = 28742;
constexpr double kLinkBytesPerSecond = 10e6 / 8;
constexpr char kBackendPrefix[] = "backends/";
constexpr char kDrainPrefix[] = "drains/";
constexpr char kDocumentKey[] = "document";

std::vector<Backend> ManyBackends() {
  std::vector<Backend> backends(kFleetBackends);
  for (int i = 0; i < kFleetBackends; ++i) {
    Backend& backend = backends[static_cast<size_t>(i)];
    backend.id = FleetBackendId(i);
    backend.service = "s";
    backend.address = fmt::format("10.1.64.{}:8741", i);
    backend.zone = "hall-a";
  }
  return backends;
}

RelayOptions OptionsOf(const std::string& host, const std::vector<std::string>& seeds) {
  RelayOptions options;
  options.node_id = "node-" + host;
  options.zone = "z1";
  options.peer = {host, kPeerPort};
  options.seeds = seeds;
  return options;
}

CatalogKeys Keys() { return {"", kDocumentKey, kBackendPrefix, kDrainPrefix}; }

}  // namespace

std::string FleetBackendId(int index) { return fmt::format("i-{:010x}", index); }

FleetNode::FleetNode(asio::io_context& io, const std::string& host,
                     const std::vector<std::string>& seeds)
    : store_(io),
      context_(io, OptionsOf(host, seeds), format_),
      catalog_(context_, context_.peers, store_, codec_, Keys()),
      exchange_(context_, catalog_) {
  const auto handler = [this](HttpExchange& request) { return AnswerCatalog(request); };
  server_ = MakeHttpServer(io, context_.options.peer, HttpServerLimits(), handler);
  if (!server_->Start().ok() || !exchange_.Start().ok()) std::abort();
}

void FleetNode::Apply(int64_t version) {
  CatalogMessage catalog;
  catalog.revision = version;
  catalog.document = {0, MakeDocumentPatch({}, DocumentText(version))};
  catalog.backends = ManyBackends();
  catalog_.ApplyCatalog(catalog, "store");
}

void FleetNode::ApplyBackends(int64_t revision) {
  CatalogMessage catalog;
  catalog.revision = revision;
  catalog.backends = ManyBackends();
  catalog_.ApplyCatalog(catalog, "store");
}

void FleetNode::StartReading(int64_t revision) {
  RangeResult list;
  list.revision = revision;
  list.kvs.push_back(ItemOf(kDocumentKey, DocumentText(1), 1));
  for (int i = 0; i < kFleetBackends; ++i) {
    list.kvs.push_back(ItemOf(kBackendPrefix + FleetBackendId(i), "s", revision));
  }
  store_.SetList(std::move(list));
  catalog_.Start();
}

void FleetNode::PushBackend(const std::string& id, int64_t revision) {
  store_.Push(WrittenAt(kBackendPrefix + id, "s", revision));
}

void FleetNode::PushGone(const std::string& id, int64_t revision) {
  store_.Push(GoneAt(kBackendPrefix + id, revision));
}

void FleetNode::PushDrain(const std::string& zone, int64_t revision) {
  store_.Push(WrittenAt(kDrainPrefix + zone, "", revision));
}

void FleetNode::PushRestore(const std::string& zone, int64_t revision) {
  store_.Push(GoneAt(kDrainPrefix + zone, revision));
}

void FleetNode::ApplyDrain(const std::string& zone, int64_t revision) {
  CatalogMessage catalog;
  catalog.revision = revision;
  catalog.backends = ManyBackends();
  catalog.drained_zones = {zone};
  catalog_.ApplyCatalog(catalog, "store");
}

bool FleetNode::IsDrained(const std::string& zone) const {
  return context_.dispatcher.Registry().Drains().IsDrained(zone);
}

bool FleetNode::Knows(const std::string& backend) const {
  return context_.dispatcher.Registry().Find(backend) != nullptr;
}

size_t FleetNode::CatalogBytesSince(int64_t revision) {
  HttpRequest request;
  request.target = fmt::format("{}?{}={}&{}={}", kCatalogPath, kHaveParameter, Version(),
                               kSinceParameter, revision);
  return catalog_.AnswerPeer(request).size();
}

asio::awaitable<void> FleetNode::AnswerCatalog(HttpExchange& request) {
  HttpResponse response;
  response.body = catalog_.AnswerPeer(request.Request());
  ++copies_;
  if (silent_) link_free_ = Now() + seconds(60);
  const Duration sending =
      FromSeconds(static_cast<double>(response.body.size()) / kLinkBytesPerSecond);
  link_free_ = std::max(link_free_, Now()) + sending;
  Timer timer(context_.io, link_free_);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  (void)co_await request.Respond(std::move(response));
}

}  // namespace cartsail::testing
