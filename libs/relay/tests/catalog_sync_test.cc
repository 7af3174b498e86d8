// How a node keeps its catalog while peers and the store tell of changes at the same time.
#include "catalog_sync.h"

#include <boost/asio/io_context.hpp>

#include "cartsail/base/hash.h"
#include "support/scripted_store.h"
#include "support/version_codec.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using testing::DocumentText;
using testing::ItemOf;
using testing::ScriptedStore;
using testing::VersionCodec;

constexpr Duration kCallTime = milliseconds(100);

RelayOptions Options() {
  RelayOptions options;
  options.node_id = "n1";
  options.zone = "z1";
  return options;
}

struct Node {
  Node()
      : store(io, kCallTime),
        context(io, Options(), format),
        catalog(context, context.peers, store, codec, Keys()) {}

  static CatalogKeys Keys() { return {"", "document", "backends/"}; }

  void RunFor(Duration duration) {
    io.restart();
    io.run_for(duration);
  }

  bool Knows(const std::string& backend) {
    return context.dispatcher.Registry().Find(backend) != nullptr;
  }

  asio::io_context io;
  WireFormat format;
  VersionCodec codec;
  ScriptedStore store;
  RelayContext context;
  CatalogSync catalog;
};

RangeResult ListOf(int64_t revision, std::vector<KeyValue> items) {
  RangeResult list;
  list.revision = revision;
  list.kvs = std::move(items);
  return list;
}

CatalogMessage CatalogOf(int64_t revision, int64_t version, const std::string& backend) {
  CatalogMessage catalog;
  catalog.revision = revision;
  catalog.document = {0, MakeDocumentPatch({}, DocumentText(version))};
  catalog.backends.resize(1);
  catalog.backends[0].id = backend;
  catalog.backends[0].service = "s";
  catalog.backends[0].address = "127.0.0.1:1";
  return catalog;
}

Test(catalog_sync, a_list_older_than_a_peers_catalog_does_not_replace_it) {
  Node node;
  node.store.SetList(
      ListOf(10, {ItemOf("document", DocumentText(3), 4), ItemOf("backends/old", "s", 5)}));
  node.catalog.Start();
  node.RunFor(kCallTime / 2);
  cr_assert(node.store.Lists() == 1);
  node.catalog.ApplyCatalog(CatalogOf(12, 2, "new"), "peer");
  node.RunFor(kCallTime);
  cr_assert(node.context.routing.Version() == 3, "documents are ordered by their versions");
  cr_assert(node.Knows("new") && !node.Knows("old"), "the change between 10 and 12 would be lost");
  cr_assert(node.catalog.Revision() == 12);
}

Test(catalog_sync, a_newer_document_is_taken_also_with_a_known_revision) {
  Node node;
  node.catalog.ApplyCatalog(CatalogOf(5, 1, "b"), "peer");
  node.catalog.ApplyCatalog(CatalogOf(5, 7, "other"), "peer");
  cr_assert(node.context.routing.Version() == 7);
  cr_assert(node.Knows("b") && !node.Knows("other"), "back ends are ordered by revisions");
}

Test(catalog_sync, a_list_confirms_what_held_when_it_was_asked_for) {
  Node node;
  node.store.SetList(ListOf(10, {ItemOf("document", DocumentText(3), 4)}));
  const TimePoint asked = Now();
  node.catalog.Start();
  node.RunFor(kCallTime + kCallTime / 2);
  cr_assert(node.context.routing.Version() == 3);
  cr_assert(node.context.routing.Confirmed() < asked + kCallTime / 2);
}

// Makes `node` one that leaves reading the store to two others of its zone.
void AddReaders(Node& node) {
  int readers = 0;
  for (int i = 0; readers < 2; ++i) {
    const std::string name = "reader-" + std::to_string(i);
    if (Hash64(name) >= Hash64("n1")) continue;
    ++readers;
    node.context.peers.Heard("10.0.0." + std::to_string(i),
                             {name, "z1", false, 1, seconds(60), seconds(60), 0}, Now());
  }
}

Test(catalog_sync, a_node_that_does_not_get_a_newer_document_from_peers_reads_the_store) {
  Node node;
  AddReaders(node);
  node.store.SetList(ListOf(9, {ItemOf("document", DocumentText(7), 4)}));
  node.catalog.ApplyCatalog(CatalogOf(9, 1, "b"), "peer");
  node.catalog.ConfirmByPeer(Now(), Now());
  node.catalog.Start();
  const Duration patience = node.context.document_limits.own_reading_when_behind;
  node.RunFor(patience / 2);
  cr_assert(!node.catalog.IsReading(Now()) && node.store.Lists() == 0);
  node.catalog.NoteVersionElsewhere(7, Now());
  cr_assert(!node.catalog.IsReading(Now()), "peers have some time");
  node.RunFor(2 * patience);
  cr_assert(node.store.Lists() == 1 && node.context.routing.Version() == 7);
  cr_assert(!node.catalog.IsReading(Now()));
}

}  // namespace
}  // namespace cartsail
