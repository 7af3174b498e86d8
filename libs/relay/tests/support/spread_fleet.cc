#include "spread_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>

#include "cartsail/base/status.h"
#include "cartsail/base/text.h"
#include "cartsail/net/http_server.h"
#include "catalog_message.h"
#include "catalog_path.h"
#include "version_codec.h"

namespace cartsail::testing {
namespace {

namespace asio = boost::asio;

constexpr uint16_t kPeerPort = 28742;
constexpr double kLinkBytesPerSecond = 10e6 / 8;
// As a deployment of 84 nodes has them.
constexpr int kBackends = 116;
constexpr Duration kStep = milliseconds(5);

absl::Status Away() { return MakeError(ErrorKind::kPlatformUnavailable, "away"); }

class AwayStore : public KeyValueStore {
 public:
  Result<RangeResult> Range(RangeRequest request) override { co_return Away(); }
  Result<TxnResult> Txn(TxnRequest request) override { co_return Away(); }
  Result<int64_t> GrantLease(int64_t ttl_seconds) override { co_return Away(); }
  asio::awaitable<absl::Status> Watch(std::string key, std::string range_end,
                                      int64_t start_revision, WatchCallback on_events) override {
    co_return Away();
  }
};

std::vector<Backend> ManyBackends() {
  std::vector<Backend> backends(kBackends);
  for (int i = 0; i < kBackends; ++i) {
    Backend& backend = backends[static_cast<size_t>(i)];
    backend.id = fmt::format("i-{:010x}", i);
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

}  // namespace

class FleetNode {
 public:
  FleetNode(asio::io_context& io, const std::string& host, const std::vector<std::string>& seeds)
      : context_(io, OptionsOf(host, seeds), format_),
        catalog_(context_, context_.peers, store_, codec_, {}),
        exchange_(context_, catalog_) {
    const auto handler = [this](HttpExchange& request) { return AnswerCatalog(request); };
    server_ = MakeHttpServer(io, context_.options.peer, HttpServerLimits(), handler);
    if (!server_->Start().ok() || !exchange_.Start().ok()) std::abort();
  }

  void Apply(int64_t version) {
    CatalogMessage catalog;
    catalog.revision = version;
    catalog.document = {0, MakeDocumentPatch({}, DocumentText(version))};
    catalog.backends = ManyBackends();
    catalog_.ApplyCatalog(catalog, "store");
  }

  // Another list of back ends, with the same document.
  void ApplyBackends(int64_t revision) {
    CatalogMessage catalog;
    catalog.revision = revision;
    catalog.backends = ManyBackends();
    catalog_.ApplyCatalog(catalog, "store");
  }

  // From now on its catalog is asked for in vain.
  void FallSilent() { silent_ = true; }

  int64_t Revision() const { return catalog_.Revision(); }
  int64_t Version() const { return context_.routing.Version(); }
  int Copies() const { return copies_; }

 private:
  asio::awaitable<void> AnswerCatalog(HttpExchange& request) {
    int64_t have = 0;
    (void)ParseInteger(request.Request().QueryParameter(kHaveParameter), &have);
    HttpResponse response;
    response.body = EncodeCatalog(catalog_.MakeCatalog(have), Now());
    ++copies_;
    if (silent_) link_free_ = Now() + seconds(60);
    const Duration sending =
        FromSeconds(static_cast<double>(response.body.size()) / kLinkBytesPerSecond);
    link_free_ = std::max(link_free_, Now()) + sending;
    asio::steady_timer timer(context_.io, link_free_);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    (void)co_await request.Respond(std::move(response));
  }

  WireFormat format_;
  AwayStore store_;
  VersionCodec codec_;
  RelayContext context_;
  CatalogSync catalog_;
  PeerExchange exchange_;
  std::unique_ptr<HttpServer> server_;
  TimePoint link_free_{};
  int copies_ = 0;
  bool silent_ = false;
};

SpreadFleet::SpreadFleet(int nodes, int network) {
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<size_t>(nodes));
  for (int i = 0; i < nodes; ++i) hosts.push_back(fmt::format("127.0.{}.{}", network, i + 1));
  for (const std::string& host : hosts) {
    nodes_.push_back(std::make_unique<FleetNode>(io_, host, hosts));
    nodes_.back()->Apply(1);
  }
}

SpreadFleet::~SpreadFleet() = default;

void SpreadFleet::RunFor(Duration duration) {
  io_.restart();
  io_.run_for(duration);
}

void SpreadFleet::ApplyAtReaders(int readers, int64_t version) {
  for (int i = 0; i < readers; ++i) nodes_[static_cast<size_t>(i)]->Apply(version);
}

void SpreadFleet::ApplyBackendsAt(int node, int64_t revision) {
  nodes_[static_cast<size_t>(node)]->ApplyBackends(revision);
}

void SpreadFleet::FallSilent(int node) { nodes_[static_cast<size_t>(node)]->FallSilent(); }

int SpreadFleet::CopiesOf(int node) const { return nodes_[static_cast<size_t>(node)]->Copies(); }

int64_t SpreadFleet::RevisionAt(int node) const {
  return nodes_[static_cast<size_t>(node)]->Revision();
}

bool SpreadFleet::RunUntilAllHave(int64_t version, Duration limit) {
  const TimePoint end = Now() + limit;
  const int all = static_cast<int>(nodes_.size());
  while (Now() < end && NodesWith(version) < all) RunFor(kStep);
  return NodesWith(version) == all;
}

int SpreadFleet::NodesWith(int64_t version) const {
  return static_cast<int>(std::count_if(
      nodes_.begin(), nodes_.end(),
      [version](const std::unique_ptr<FleetNode>& node) { return node->Version() >= version; }));
}

int SpreadFleet::MostCopiesOfOneNode() const {
  int most = 0;
  for (const auto& node : nodes_) most = std::max(most, node->Copies());
  return most;
}

}  // namespace cartsail::testing
