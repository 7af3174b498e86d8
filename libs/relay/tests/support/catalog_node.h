// A node's catalog beside a scripted store, without any other part of the node.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>
#include <vector>

#include "catalog/catalog_sync.h"
#include "scripted_store.h"
#include "version_codec.h"

namespace cartsail::testing {

// What a call of the store takes.
inline constexpr Duration kCallTime = milliseconds(100);

inline RelayOptions CatalogNodeOptions() {
  RelayOptions options;
  options.node_id = "n1";
  options.zone = "z1";
  return options;
}

inline CatalogKeys PlainCatalogKeys() {
  return {"", "document", "backends/", "drains/", "quarantine/"};
}

// Of texts as version_codec.h has them.
inline const CatalogCodec& PlainCodec() {
  static const VersionCodec codec;
  return codec;
}

struct CatalogNode {
  explicit CatalogNode(const CatalogCodec& codec = PlainCodec(),
                       CatalogKeys keys = PlainCatalogKeys())
      : store(io, kCallTime),
        context(io, CatalogNodeOptions(), format),
        catalog(context, context.peers, store, codec, std::move(keys)) {}

  void RunFor(Duration duration) {
    io.restart();
    io.run_for(duration);
  }

  BackendRegistry& Registry() { return context.dispatcher.Registry(); }
  bool Knows(const std::string& backend) { return Registry().Find(backend) != nullptr; }
  bool IsDrained(const std::string& zone) { return Registry().Drains().IsDrained(zone); }

  boost::asio::io_context io;
  WireFormat format;
  ScriptedStore store;
  RelayContext context;
  CatalogSync catalog;
};

inline RangeResult ListOf(int64_t revision, std::vector<KeyValue> items) {
  RangeResult list;
  list.revision = revision;
  list.kvs = std::move(items);
  return list;
}

// A peer's whole catalog with one back end.
inline CatalogMessage CatalogOf(int64_t revision, int64_t version, const std::string& backend) {
  CatalogMessage catalog;
  catalog.revision = revision;
  catalog.document = {0, MakeDocumentPatch({}, DocumentText(version))};
  catalog.document_version = version;
  catalog.document_revision = revision;
  catalog.backends.resize(1);
  catalog.backends[0].id = backend;
  catalog.backends[0].service = "s";
  catalog.backends[0].address = "127.0.0.1:1";
  return catalog;
}

}  // namespace cartsail::testing
